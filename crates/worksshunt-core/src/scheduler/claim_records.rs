//! The records of claims: their keys, what is written of them, and what follows once it is durable.
//!
//! Each claim has a key of its own, which is put once and deleted once. If the keys were the machines' alone, a late
//! copy of a claim's write could restore a key that the next claim on the machine expects to be missing.

use serde_json::Value;
use worksshunt_wire::{Epoch, MachineId, Revision};

use super::claims::ClaimState;
use super::{PendingWrite, Scheduler};

/// Prefix of the leader's claims on machines.
pub const CLAIMS_PREFIX: &str = "k/";

/// Key of a claim. Within an epoch no `number` is used twice, so no key is either.
pub fn claim_key(machine: &MachineId, epoch: Epoch, number: u64) -> String {
    format!("{CLAIMS_PREFIX}{machine}.{epoch}.{number}")
}

/// What a leader has learnt about a claim's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimRecord {
    /// Its write was committed at that revision.
    Committed(Revision),
    /// A write of it found its key there, so an earlier copy was committed.
    Exists,
    /// Its deletion was committed at that revision.
    Deleted(Revision),
}

/// What is to be written of a claim.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimWrite {
    /// Its record.
    Put {
        /// Its key.
        key: String,
        /// The record.
        value: Value,
    },
    /// The deletion of its record.
    Delete {
        /// Its key.
        key: String,
    },
}

impl Scheduler {
    /// What is to be written of the claim on a machine; none if there is no claim.
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

    /// Something was learnt about the record of the claim on a machine.
    pub fn claim_recorded(&mut self, machine: &MachineId, record: ClaimRecord) {
        let Some(claim) = self.claims.get_mut(machine) else {
            return;
        };
        tracing::debug!(%machine, job = %claim.job, number = claim.number, ?record, "claim record learnt");
        match (record, claim.state) {
            (ClaimRecord::Deleted(_), _) => {
                self.claims.remove(machine);
                self.claim_settled(machine);
            }
            (_, ClaimState::BeingWritten) => {
                claim.state = ClaimState::Held;
                self.claim_settled(machine);
            }
            // Released while it was being written: its deletion is still due.
            (_, ClaimState::Held | ClaimState::Releasing) => {}
        }
    }

    fn claim_settled(&mut self, machine: &MachineId) {
        self.pending_writes
            .remove(&PendingWrite::UpdateClaim(machine.clone()));
    }
}
