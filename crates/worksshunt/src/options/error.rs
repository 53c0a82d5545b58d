//! Errors of the settings file and the options file.
//!
//! [`load`](super::load) returns these errors, and `main` prints them: one line with the path of the file and, if
//! known, the field.

use std::path::PathBuf;

use worksshunt_core::constants::key_value::MIN_VALUE_KIB;

/// Error of a settings or options file.
#[derive(Debug, thiserror::Error)]
#[error("{}: {}", file.display(), one_line(problem))]
pub struct SettingsError {
    /// Path of the file.
    pub file: PathBuf,
    /// Problem of the file.
    #[source]
    pub problem: SettingsProblem,
}

/// Problem of a settings or options file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsProblem {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// The file is not valid JSON or does not have the expected structure.
    #[error(transparent)]
    MalformedJson(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// There is text after the JSON value.
    #[error(transparent)]
    TrailingCharacters(#[from] serde_json::Error),
    /// The file is not valid TOML or does not have the expected structure.
    #[error(transparent)]
    MalformedToml(#[from] toml::de::Error),
    /// A field has an invalid value.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// Invalid value of a field.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct FieldError {
    /// Path of the field, for example `facts.state.rps`.
    pub field: &'static str,
    /// Problem of its value.
    #[source]
    pub problem: FieldProblem,
}

/// Problem of a field's value.
#[derive(Debug, thiserror::Error)]
pub enum FieldProblem {
    /// A controller name that cannot be part of a key in the key-value store.
    #[error("must not be empty or contain a space or slash")]
    InvalidName,
    /// Not an IP address with a port.
    #[error("{0:?} is not an IP address with a port")]
    InvalidAddress(String),
    /// The address for peers is also the address for clients.
    #[error("must differ from client_listen")]
    SameAsClientAddress,
    /// A name that occurs more than once.
    #[error("duplicate name {0}")]
    Duplicate(String),
    /// Zero, negative, infinite or not a number.
    #[error("{0} is not a positive number")]
    NotPositive(f64),
    /// The limit of a team is negative, infinite or not a number.
    #[error("{limit} of team {team} is not a finite number of at least 0")]
    InvalidTeamLimit {
        /// Value of the limit.
        limit: f64,
        /// Name of the team.
        team: String,
    },
    /// The guarantee of a team is negative, not a number or above the team's limit.
    #[error("{guarantee} of team {team} is not between 0 and {limit}")]
    GuaranteeOutOfRange {
        /// Value of the guarantee.
        guarantee: f64,
        /// Name of the team.
        team: String,
        /// Limit; infinite if the team has none.
        limit: f64,
    },
    /// The key-value store accepts too few requests for the controllers to renew their leases and confirm the epoch.
    #[error(
        "{requests_per_s} is below {minimum}, the minimum for leases and epochs of {controllers} controllers"
    )]
    TooFewRequests {
        /// Requests per second that the store accepts.
        requests_per_s: f64,
        /// Requests per second that the controllers need.
        minimum: f64,
        /// Number of controllers.
        controllers: usize,
    },
    /// The size limit of a value is too small, infinite or not a number.
    #[error("must be a finite number of at least {MIN_VALUE_KIB}")]
    InvalidValueSize,
    /// A count below the minimum that the service needs.
    #[error("{value} is below the minimum of {minimum}")]
    BelowMinimum {
        /// Value of the field.
        value: usize,
        /// Smallest allowed value.
        minimum: usize,
    },
    /// A duration that is negative, infinite or not a number.
    #[error("must be a finite number of seconds of at least 0")]
    InvalidDuration,
    /// Bounds of size bands that are not finite, positive and in ascending order.
    #[error("bounds must be finite, positive and in ascending order")]
    NotAscending,
}

impl FieldProblem {
    /// Creates the error for `field`, the path of the field.
    pub fn for_field(self, field: &'static str) -> FieldError {
        FieldError {
            field,
            problem: self,
        }
    }
}

/// Formats a problem without line breaks: a TOML error has several lines.
fn one_line(problem: &SettingsProblem) -> String {
    problem.to_string().trim().replace('\n', " ")
}
