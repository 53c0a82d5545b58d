//! Reads fixture files and compares messages with them.

use std::collections::BTreeSet;
use std::fmt::Debug;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Messages of a fixture file, and the names of those that a test has compared.
pub struct Fixtures {
    messages: Vec<(&'static str, &'static str)>,
    compared: BTreeSet<&'static str>,
}

impl Fixtures {
    /// Reads a file of JSON messages.
    pub fn json(text: &'static str) -> Fixtures {
        let message = |line: &'static str| {
            let line = line.strip_suffix(',').unwrap_or(line);
            let (name, message) = line.split_once("\": ").expect("a name and a message");
            (name.strip_prefix('"').expect("a name in quotes"), message)
        };
        let lines = text.lines().filter(|line| !matches!(*line, "{" | "}"));
        Fixtures::new(lines.map(message).collect())
    }

    /// Reads a file of messages in hex.
    pub fn hex(text: &'static str) -> Fixtures {
        let message = |line: &'static str| line.split_once(' ').expect("a name and a message");
        Fixtures::new(text.lines().map(message).collect())
    }

    fn new(messages: Vec<(&'static str, &'static str)>) -> Fixtures {
        let names: BTreeSet<&str> = messages.iter().map(|(name, _)| *name).collect();
        assert_eq!(names.len(), messages.len(), "every name is used once");
        Fixtures {
            messages,
            compared: BTreeSet::new(),
        }
    }

    fn message(&mut self, name: &str, encoded: &str) -> &'static str {
        let found = self.messages.iter().find(|message| message.0 == name);
        let (name, message) = found.unwrap_or_else(|| panic!("no fixture: \"{name}\": {encoded}"));
        assert!(self.compared.insert(name), "{name} is compared twice");
        message
    }

    /// Checks that the value is encoded as this message and that the message is decoded as this value.
    pub fn assert_round_trip<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let encoded = serde_json::to_string(&value).expect("JSON");
        let message = self.message(name, &encoded);
        assert_eq!(encoded, message, "encoding of {name}");
        let decoded: T = serde_json::from_str(message).expect(name);
        assert_eq!(decoded, value, "decoding of {name}");
    }

    /// Checks that the message is decoded as this value, and that the value is encoded differently.
    pub fn assert_decodes<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let encoded = serde_json::to_string(&value).expect("JSON");
        let message = self.message(name, &encoded);
        assert_ne!(encoded, message, "{name} is encoded the same");
        let decoded: T = serde_json::from_str(message).expect(name);
        assert_eq!(decoded, value, "decoding of {name}");
    }

    /// Same as [`Fixtures::assert_round_trip`], for a message between controllers.
    pub fn assert_frame_round_trip<T>(&mut self, name: &str, value: T)
    where
        T: BorshSerialize + BorshDeserialize + PartialEq + Debug,
    {
        let encoded = to_hex(&borsh::to_vec(&value).expect("bytes"));
        let message = self.message(name, &encoded);
        assert_eq!(encoded, message, "encoding of {name}");
        let decoded: T = borsh::from_slice(&from_hex(message)).expect(name);
        assert_eq!(decoded, value, "decoding of {name}");
    }

    /// Checks that every message of the file was compared.
    pub fn assert_all_compared(&self) {
        let names: BTreeSet<&str> = self.messages.iter().map(|(name, _)| *name).collect();
        assert_eq!(self.compared, names, "messages compared");
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
    (0..hex.len()).step_by(2).map(byte).collect()
}
