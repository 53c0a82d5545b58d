//! Claim records: their keys, the pending write of each claim, and the effects of its outcome.
//!
//! Each claim has its own key, which is put once and deleted once. With one key per machine, a late copy of a claim's
//! write could restore a key that the next claim on the machine expects to be missing.

use serde_json::Value;
use worksshunt_wire::{Epoch, MachineId, Revision};

use super::claims::ClaimState;
use super::{PendingWrite, Scheduler};

/// Prefix of the keys of claim records.
pub const CLAIMS_PREFIX: &str = "k/";

/// Key of a claim record. It is unique because `number` is unique within the epoch.
pub fn claim_key(machine: &MachineId, epoch: Epoch, number: u64) -> String {
    format!("{CLAIMS_PREFIX}{machine}.{epoch}.{number}")
}

/// Outcome of a write of a claim record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimWriteOutcome {
    /// The record was put at this revision.
    Committed(Revision),
    /// The put found the key already present, so an earlier copy of the put was committed.
    Exists,
    /// The record was deleted at this revision.
    Deleted(Revision),
}

/// A pending write of a claim record.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimWrite {
    /// Puts the record.
    Put {
        /// Key of the claim.
        key: String,
        /// The claiming job and the epoch.
        value: Value,
    },
    /// Deletes the record.
    Delete {
        /// Key of the claim.
        key: String,
    },
}

impl Scheduler {
    /// The next write of the record of the claim on a machine; `None` if the machine is not claimed.
    pub fn claim_write(&self, machine: &MachineId) -> Option<ClaimWrite> {
        let claim = self.claims.get(machine)?;
        let key = claim_key(machine, self.epoch, claim.number);
        Some(match claim.state {
            ClaimState::BeingWritten => ClaimWrite::Put {
                key,
                value: serde_json::json!({ "job": claim.job, "epoch": self.epoch }),
            },
            ClaimState::Held | ClaimState::Releasing => ClaimWrite::Delete { key },
        })
    }

    /// Applies the outcome of a write of the record of the claim on a machine.
    pub fn apply_claim_write_outcome(&mut self, machine: &MachineId, outcome: ClaimWriteOutcome) {
        let Some(claim) = self.claims.get_mut(machine) else {
            return;
        };
        tracing::debug!(%machine, job = %claim.job, number = claim.number, ?outcome, "claim record written or deleted");
        match (outcome, claim.state) {
            (ClaimWriteOutcome::Deleted(_), _) => {
                self.claims.remove(machine);
                self.remove_pending_claim_write(machine);
            }
            (_, ClaimState::BeingWritten) => {
                claim.state = ClaimState::Held;
                self.remove_pending_claim_write(machine);
            }
            // Released while its put was in flight: the deletion is still pending.
            (_, ClaimState::Held | ClaimState::Releasing) => {}
        }
    }

    fn remove_pending_claim_write(&mut self, machine: &MachineId) {
        self.pending_writes
            .remove(&PendingWrite::UpdateClaim(machine.clone()));
    }
}
