//! Partitioning of the machines among the controllers of an epoch by rendezvous hashing.
//!
//! Every controller computes the same assignment from names alone. Controllers use it to accept or redirect heartbeats
//! and to load the records of their machines, the leader to find the owner of a machine.

use std::hash::Hasher;

use worksshunt_wire::{ControllerName, MachineId};

/// The controller among `owners` that owns the machine; `None` if `owners` is empty.
///
/// When an owner leaves or joins, only the machines that it owned or will own are reassigned.
pub fn partition_owner<'a>(
    machine: &MachineId,
    owners: &'a [ControllerName],
) -> Option<&'a ControllerName> {
    owners.iter().max_by_key(|owner| {
        let mut hash = Fnv::default();
        hash.write(machine.0.as_bytes());
        hash.write(&[0]);
        hash.write(owner.0.as_bytes());
        (mix(hash.finish()), *owner)
    })
}

/// FNV-1a hash. Partitioning needs a hash that is the same in every process and release, which the standard library's
/// default hasher does not guarantee.
struct Fnv(u64);

impl Fnv {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
}

impl Default for Fnv {
    fn default() -> Fnv {
        Fnv(Fnv::OFFSET_BASIS)
    }
}

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Fnv::PRIME);
        }
    }
}

/// Finalizer of SplitMix64, which spreads the low bits of a hash over all bits. Without it, names that differ only in
/// their last letter would rank in the same order for every machine.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

#[cfg(test)]
mod tests;
