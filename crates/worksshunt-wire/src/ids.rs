//! Newtypes for identifiers, fencing tokens and revisions, used by all interfaces and stored records.

use std::fmt;
use std::str::FromStr;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Error for text that is not an identifier, with an example of the expected form.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("not an identifier of the form {0}")]
pub struct IdError(&'static str);

macro_rules! number_newtype {
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

macro_rules! text_newtype {
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

number_newtype!(
    /// Id of an attempt at a task, unique among the attempts at all tasks.
    AttemptId
);
number_newtype!(
    /// Number of a leadership epoch, which is also the last of its fencing tokens.
    Epoch
);
number_newtype!(
    /// Fencing token of a controller. Workers ignore commands with a lower token than the highest they have seen.
    FencingToken
);
number_newtype!(
    /// Revision of the key-value store. As the version of a key, zero means that the key does not exist.
    Revision
);
number_newtype!(
    /// Incarnation of a worker, which increases each time its lease expires.
    Incarnation
);
text_newtype!(
    /// Id of a provisioned machine, assigned by the cloud.
    MachineId
);
text_newtype!(
    /// Name of a controller.
    ControllerName
);
text_newtype!(
    /// Name of a team.
    TeamName
);

/// Id of a job. Its text form is `j-000412`.
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
        const INVALID: IdError = IdError("j-000412");
        let digits = text.strip_prefix("j-").ok_or(INVALID)?;
        if digits.len() < 6 || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(INVALID);
        }
        let id = JobId(digits.parse().map_err(|_| INVALID)?);
        // Reject redundant leading zeros: ids with different texts must be different jobs.
        if id.to_string() == text {
            Ok(id)
        } else {
            Err(INVALID)
        }
    }
}

/// Id of a task. Its text form is `j-000412/3`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct TaskId {
    /// Job of the task.
    pub job: JobId,
    /// Index of the task within the job, from 0.
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
        const INVALID: IdError = IdError("j-000412/3");
        let (job, index) = text.split_once('/').ok_or(INVALID)?;
        Ok(TaskId {
            job: job.parse()?,
            index: index.parse().map_err(|_| INVALID)?,
        })
    }
}

macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <String as Deserialize>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

serde_as_text!(JobId);
serde_as_text!(TaskId);

#[cfg(test)]
mod tests;
