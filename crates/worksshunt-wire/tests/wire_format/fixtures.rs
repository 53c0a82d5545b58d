//! The files of messages, and the comparison with them.

use std::collections::BTreeSet;
use std::fmt::Debug;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The messages of one file, and those of them that a test has compared.
pub struct Fixtures {
    messages: Vec<(&'static str, &'static str)>,
    compared: BTreeSet<&'static str>,
}

impl Fixtures {
    /// A file of JSON messages.
    pub fn json(text: &'static str) -> Fixtures {
        let message = |line: &'static str| {
            let line = line.strip_suffix(',').unwrap_or(line);
            let (name, message) = line.split_once("\": ").expect("a name and a message");
            (name.strip_prefix('"').expect("a name in quotes"), message)
        };
        let lines = text.lines().filter(|line| !matches!(*line, "{" | "}"));
        Fixtures::of(lines.map(message).collect())
    }

    /// A file of messages in hex.
    pub fn hex(text: &'static str) -> Fixtures {
        let message = |line: &'static str| line.split_once(' ').expect("a name and a message");
        Fixtures::of(text.lines().map(message).collect())
    }

    fn of(messages: Vec<(&'static str, &'static str)>) -> Fixtures {
        let names: BTreeSet<&str> = messages.iter().map(|(name, _)| *name).collect();
        assert_eq!(names.len(), messages.len(), "every name is used once");
        Fixtures {
            messages,
            compared: BTreeSet::new(),
        }
    }

    fn message(&mut self, name: &str, written: &str) -> &'static str {
        let found = self.messages.iter().find(|message| message.0 == name);
        let (name, message) = found.unwrap_or_else(|| panic!("no fixture: \"{name}\": {written}"));
        assert!(self.compared.insert(name), "{name} is compared twice");
        message
    }

    /// The value is written as this message, and the message is read as this value.
    pub fn same<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let written = serde_json::to_string(&value).expect("JSON");
        let message = self.message(name, &written);
        assert_eq!(written, message, "{name} as written");
        let read: T = serde_json::from_str(message).expect(name);
        assert_eq!(read, value, "{name} as read");
    }

    /// The message is read as this value, which is written in another form.
    pub fn reads<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let written = serde_json::to_string(&value).expect("JSON");
        let message = self.message(name, &written);
        assert_ne!(written, message, "{name} is written in the same form");
        let read: T = serde_json::from_str(message).expect(name);
        assert_eq!(read, value, "{name} as read");
    }

    /// Like [`Fixtures::same`], for a message between controllers.
    pub fn same_frame<T>(&mut self, name: &str, value: T)
    where
        T: BorshSerialize + BorshDeserialize + PartialEq + Debug,
    {
        let written = hex(&borsh::to_vec(&value).expect("bytes"));
        let message = self.message(name, &written);
        assert_eq!(written, message, "{name} as written");
        let read: T = borsh::from_slice(&bytes(message)).expect(name);
        assert_eq!(read, value, "{name} as read");
    }

    /// No message of the file was left out.
    pub fn all_compared(&self) {
        let names: BTreeSet<&str> = self.messages.iter().map(|(name, _)| *name).collect();
        assert_eq!(self.compared, names, "messages compared");
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
    (0..hex.len()).step_by(2).map(byte).collect()
}
