//! The reasons for which a simulated run fails; returned by the verdict and by waits for a condition.

/// The reason for which a simulated run failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Invariants were violated: one text `INVARIANT: DETAILS` for each violation.
    #[error("{0:?}")]
    InvariantsViolated(Vec<String>),
    /// A condition, described by the text, did not hold before its timeout.
    #[error("timed out waiting for {0}")]
    TimedOut(String),
}

impl Failure {
    /// Returns the names of the violated invariants, in order of the violations.
    pub fn invariants(&self) -> impl Iterator<Item = &str> {
        let violations: &[String] = match self {
            Failure::InvariantsViolated(violations) => violations,
            Failure::TimedOut(_) => &[],
        };
        let name_length = |text: &'_ String| -> usize { text.find(':').unwrap_or(text.len()) };
        violations
            .iter()
            .map(move |text| &text[..name_length(text)])
    }
}
