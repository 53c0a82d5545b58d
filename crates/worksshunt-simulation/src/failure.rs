//! Why a simulated day failed; returned by the verdict and by waits for a condition.

/// Why a simulated day failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Invariants were violated, each with what was seen.
    #[error("{0:?}")]
    InvariantsViolated(Vec<String>),
    /// Something that the day waited for did not come.
    #[error("not in time: {0}")]
    NotInTime(String),
}

impl Failure {
    /// Names of the rules that were violated, in the order of the violations.
    pub fn invariants(&self) -> impl Iterator<Item = &str> {
        let violations: &[String] = match self {
            Failure::InvariantsViolated(violations) => violations,
            Failure::NotInTime(_) => &[],
        };
        let rule = |text: &'_ String| -> usize { text.find(':').unwrap_or(text.len()) };
        violations.iter().map(move |text| &text[..rule(text)])
    }
}
