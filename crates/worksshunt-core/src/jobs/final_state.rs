//! How a controller knows that a job is over.

use worksshunt_wire::user::JobState;
use worksshunt_wire::Revision;

/// What shows that a final state is in the store. There is no other way to know it: a conflict, or no answer, is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalStateEvidence {
    /// This controller's write of it was committed at that revision.
    Committed(Revision),
    /// Its key was read, with that revision.
    Read(Revision),
}

impl FinalStateEvidence {
    /// The store's revision from which on the job is not open.
    pub fn revision(self) -> Revision {
        match self {
            FinalStateEvidence::Committed(revision) | FinalStateEvidence::Read(revision) => {
                revision
            }
        }
    }
}

/// A final state and how it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownFinalState {
    /// Done or cancelled.
    pub state: JobState,
    /// What shows it.
    pub evidence: FinalStateEvidence,
}
