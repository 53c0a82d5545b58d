//! Which partition a machine belongs to.
//!
//! Rendezvous hashing assigns each machine to one of the partition owners of an epoch. Every controller computes the
//! same assignment from the names alone: the controller to accept or redirect heartbeats and to load its records, the
//! leader to know the owner of a machine.

use std::hash::Hasher;

use worksshunt_wire::{ControllerName, MachineId};

/// The controller, of those that own partitions (`owners`), that owns a machine; none if there are none.
///
/// A change of the owners moves only the machines of those that left or joined.
pub fn owner<'a>(machine: &MachineId, owners: &'a [ControllerName]) -> Option<&'a ControllerName> {
    owners.iter().max_by_key(|owner| {
        let mut hash = Fnv::default();
        hash.write(machine.0.as_bytes());
        hash.write(&[0]);
        hash.write(owner.0.as_bytes());
        (mix(hash.finish()), *owner)
    })
}

/// FNV-1a: partitioning needs a hash that is the same in every process and release, which the
/// standard library's default hasher does not promise.
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

/// Spreads a hash's low bits over all of it (the finalizer of SplitMix64), without which names that differ only in
/// their last letter would rank alike for every machine.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

#[cfg(test)]
mod tests;
