//! When the next epoch is written, and its content.

use worksshunt_wire::key_value::CompareAndSwap;
use worksshunt_wire::{Epoch, Revision};

use crate::constants::leases::READS_BEFORE_MEMBER_ADMISSION;

use super::control_keys::LiveMembers;
use super::records::{put_if_unchanged, EpochRecord, Member, EPOCH_KEY};
use super::Membership;

/// A member that is alive but not in the epoch.
#[derive(Debug)]
pub(super) struct Candidate {
    member: Member,
    /// Reads in a row that showed it.
    reads: u32,
}

impl Membership {
    /// The write of the next epoch, if this controller should write it: as the leader, or because the leader's
    /// member key is gone.
    pub(super) fn propose_epoch(
        &mut self,
        me: &Member,
        live: &LiveMembers,
    ) -> Option<CompareAndSwap> {
        let (number, version, services) = match &self.epoch {
            None => (Epoch(1), Revision(0), self.all_support_services()),
            Some(epoch) => {
                let present = &epoch.record;
                let leader_alive = live.all.contains(&present.leader);
                if leader_alive && present.leader != *me {
                    return None;
                }
                self.candidates = next_candidates(&self.candidates, present, live);
                let services = self.next_services(present, live);
                if leader_alive && !self.is_superseded(present, live, services) {
                    return None;
                }
                (Epoch(present.number.0 + 1), epoch.version, services)
            }
        };
        let record = EpochRecord {
            number,
            leader: me.clone(),
            members: live.all.clone(),
            without_partition: live.without_partition.clone(),
            services,
        };
        let value = serde_json::to_value(record).ok()?;
        Some(put_if_unchanged(EPOCH_KEY.to_owned(), version, value, None))
    }

    /// Whether something has changed that the epoch's record should contain, or its attempts are exhausted.
    fn is_superseded(&self, present: &EpochRecord, live: &LiveMembers, services: bool) -> bool {
        let members = &present.members;
        let member_left = members.iter().any(|member| !live.all.contains(member));
        let admits = |candidate: &Candidate| candidate.reads >= READS_BEFORE_MEMBER_ADMISSION;
        // Readiness of members that the epoch does not have yet is no reason for another one.
        let not_ready = live.without_partition.iter();
        let known_not_ready = not_ready.filter(|member| members.contains(member));
        let readiness_changed = !known_not_ready.eq(present.without_partition.iter());
        member_left
            || self.candidates.iter().any(admits)
            || readiness_changed
            || services != present.services
            || self.exhausted_epoch == present.number
    }

    fn all_support_services(&self) -> bool {
        self.deployment.is_subset(&self.supports_services)
    }

    /// Whether the next epoch accepts services. Once accepted they are so until a controller that does not support
    /// them returns.
    fn next_services(&self, present: &EpochRecord, live: &LiveMembers) -> bool {
        let supports = |member: &Member| self.supports_services.contains(&member.name);
        self.all_support_services() || (present.services && live.all.iter().all(supports))
    }
}

/// Members that are alive but not in the epoch, with the reads in a row that showed them.
fn next_candidates(
    candidates: &[Candidate],
    present: &EpochRecord,
    live: &LiveMembers,
) -> Vec<Candidate> {
    let reads_before = |member: &Member| {
        let seen = candidates.iter().find(|seen| seen.member == *member);
        seen.map_or(0, |seen| seen.reads)
    };
    let not_in_epoch = |member: &&Member| !present.members.contains(member);
    live.all
        .iter()
        .filter(not_in_epoch)
        .map(|member| Candidate {
            member: member.clone(),
            reads: reads_before(member) + 1,
        })
        .collect()
}
