//! What can be wrong with the settings and the operators' options.
//!
//! [`load`](super::load) returns these errors, and `main` prints them: one line that names the file, and the field
//! where that is known.

use std::path::PathBuf;

use worksshunt_core::constants::key_value::MIN_VALUE_KIB;

/// A settings file that cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("{}: {}", file.display(), one_line(problem))]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// What is wrong with it.
    #[source]
    pub problem: SettingsProblem,
}

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsProblem {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// It is not JSON of the expected structure.
    #[error(transparent)]
    MalformedJson(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the settings.
    #[error(transparent)]
    TrailingCharacters(#[from] serde_json::Error),
    /// It is not TOML of the expected structure.
    #[error(transparent)]
    MalformedToml(#[from] toml::de::Error),
    /// A field has a value that is not allowed.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// A field with a value that is not allowed.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct FieldError {
    /// The field, with the fields it is inside of, as in `facts.state.rps`.
    pub field: &'static str,
    /// What is wrong with its value.
    #[source]
    pub problem: FieldProblem,
}

/// What is wrong with a field's value.
#[derive(Debug, thiserror::Error)]
pub enum FieldProblem {
    /// A name that cannot be part of a key.
    #[error("empty, or with a space or slash")]
    InvalidName,
    /// Not an address and port.
    #[error("{0:?} is not an address and port")]
    InvalidAddress(String),
    /// The internal address is that of the clients.
    #[error("the same as client_listen")]
    SameAsClientAddress,
    /// A name that has been used before.
    #[error("{0} twice")]
    Duplicate(String),
    /// Zero, negative, infinite or not a number.
    #[error("{0} is not a positive number")]
    NotPositive(f64),
    /// A team's limit that is negative, infinite or not a number.
    #[error("{limit} of {team} is not a number from 0 up")]
    InvalidTeamLimit {
        /// The limit.
        limit: f64,
        /// The team's name.
        team: String,
    },
    /// A team's guarantee that is negative or above its limit.
    #[error("{guarantee} of {team} is not from 0 to {limit}")]
    GuaranteeOutOfRange {
        /// The guarantee.
        guarantee: f64,
        /// The team's name.
        team: String,
        /// The limit; infinite where there is none.
        limit: f64,
    },
    /// A key-value store too slow to keep the controllers' leases and epochs.
    #[error(
        "{requests_per_s} is below the {minimum} that leases and epochs of {controllers} controllers take"
    )]
    TooFewRequests {
        /// Requests per second that the store takes.
        requests_per_s: f64,
        /// Requests per second that the controllers send at least.
        minimum: f64,
        /// Number of controllers.
        controllers: usize,
    },
    /// A largest value that is too small, infinite or not a number.
    #[error("not a number from {MIN_VALUE_KIB} up")]
    InvalidValueSize,
    /// A number of things below the least that the service works with.
    #[error("{value} is below {minimum}")]
    BelowMinimum {
        /// The number.
        value: usize,
        /// The least that is allowed.
        minimum: usize,
    },
    /// Negative, infinite or not a number.
    #[error("not a duration")]
    InvalidDuration,
    /// Bounds of bands that are not positive, or not in ascending order.
    #[error("not positive and ascending")]
    NotAscending,
}

impl FieldProblem {
    /// The problem as that of a field.
    pub fn of(self, field: &'static str) -> FieldError {
        FieldError {
            field,
            problem: self,
        }
    }
}

/// A problem's text without its line breaks; a TOML error quotes the file over several lines.
fn one_line(problem: &SettingsProblem) -> String {
    problem.to_string().trim().replace('\n', " ")
}
