//! Why a simulated day failed.

/// Why a simulated day failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Rules of the protocol were broken, each with what was seen.
    #[error("{0:?}")]
    RulesBroken(Vec<String>),
    /// Something that the day waited for did not come.
    #[error("not in time: {0}")]
    NotInTime(String),
}

impl Failure {
    /// Names of the rules that were broken, in the order in which they were.
    pub fn invariants(&self) -> impl Iterator<Item = &str> {
        let broken: &[String] = match self {
            Failure::RulesBroken(broken) => broken,
            Failure::NotInTime(_) => &[],
        };
        let rule = |text: &'_ String| -> usize { text.find(':').unwrap_or(text.len()) };
        broken.iter().map(move |text| &text[..rule(text)])
    }
}
