//! Final states of jobs, with the evidence that they are in the store.

use worksshunt_wire::user::JobState;
use worksshunt_wire::Revision;

/// Evidence that a final state is in the store. A conflict or a missing response is not evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalStateEvidence {
    /// A write of the final state by this controller was committed at this revision.
    Committed(Revision),
    /// The key of the final state was read, with this version.
    Read(Revision),
}

impl FinalStateEvidence {
    /// Revision of the store at or after which the job is not open.
    pub fn revision(self) -> Revision {
        match self {
            FinalStateEvidence::Committed(revision) | FinalStateEvidence::Read(revision) => {
                revision
            }
        }
    }
}

/// A final state in the job cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedFinalState {
    /// [`JobState::Done`] or [`JobState::Cancelled`].
    pub state: JobState,
    /// Evidence that the state is in the store.
    pub evidence: FinalStateEvidence,
}
