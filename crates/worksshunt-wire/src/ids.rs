//! Newtypes for identifiers, fencing tokens and revisions, in all interfaces and stored records.

use std::fmt;
use std::str::FromStr;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Why an identifier could not be read.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("not an identifier of the form {0}")]
pub struct IdError(&'static str);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            Serialize, Deserialize, BorshSerialize, BorshDeserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

macro_rules! text_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            Serialize, Deserialize, BorshSerialize, BorshDeserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.to_owned())
            }
        }
    };
}

number_type!(
    /// Number of an attempt at a task. Unique over all attempts of all tasks.
    Attempt
);
number_type!(
    /// Number of an epoch, which is also the fencing token shown to workers.
    Epoch
);
number_type!(
    /// Revision of the key-value store. Zero stands for "the key does not exist".
    Revision
);
number_type!(
    /// Incarnation of a worker; increases whenever its lease expires.
    Incarnation
);
text_type!(
    /// Name of a provisioned machine.
    MachineId
);
text_type!(
    /// Name of a controller.
    ControllerName
);
text_type!(
    /// Name of a team.
    TeamName
);

/// Id of a job, written `j-000412`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "j-{:06}", self.0)
    }
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        const FORM: IdError = IdError("j-000412");
        let digits = text.strip_prefix("j-").ok_or(FORM)?;
        if digits.len() < 6 || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(FORM);
        }
        let id = JobId(digits.parse().map_err(|_| FORM)?);
        // Two spellings of one number would be two jobs to the user and one to us.
        if id.to_string() == text {
            Ok(id)
        } else {
            Err(FORM)
        }
    }
}

/// One task of a job, written `j-000412/3`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Number of the task, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        const FORM: IdError = IdError("j-000412/3");
        let (job, index) = text.split_once('/').ok_or(FORM)?;
        Ok(TaskId {
            job: job.parse()?,
            index: index.parse().map_err(|_| FORM)?,
        })
    }
}

macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let text = <String as Deserialize>::deserialize(from)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

serde_as_text!(JobId);
serde_as_text!(TaskId);

#[cfg(test)]
mod tests;
