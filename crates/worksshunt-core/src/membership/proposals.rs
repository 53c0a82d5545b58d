//! Proposals of the next epoch: when a controller writes it, and its content.

use worksshunt_wire::key_value::CompareAndSwap;
use worksshunt_wire::{Epoch, Revision};

use crate::constants::leases::READS_BEFORE_MEMBER_ADMISSION;

use super::control_keys::LiveMembers;
use super::fencing_tokens::FencingTokens;
use super::records::{put_if_unchanged, EpochRecord, Member, EPOCH_KEY};
use super::Membership;

/// A live member that is not in the epoch.
#[derive(Debug)]
pub(super) struct Candidate {
    member: Member,
    /// Consecutive reads of the control keys that contained its member key.
    consecutive_reads: u32,
}

impl Membership {
    /// Compare-and-swap that writes the next epoch with this controller as its leader. `None` unless there is no epoch,
    /// the current leader's member key is missing, or this controller leads and the epoch's record is out of date.
    pub(super) fn propose_epoch(
        &mut self,
        own_member: &Member,
        live: &LiveMembers,
    ) -> Option<CompareAndSwap> {
        let (previous, version, accepts_services) = match &self.epoch {
            None => (Epoch(0), Revision(0), self.all_support_services()),
            Some(epoch) => {
                let current = &epoch.record;
                let is_leader_alive = live.all.contains(&current.leader);
                if is_leader_alive && current.leader != *own_member {
                    return None;
                }
                self.candidates = next_candidates(&self.candidates, current, live);
                let accepts_services = self.next_epoch_accepts_services(current, live);
                if is_leader_alive && !self.is_outdated(current, live, accepts_services) {
                    return None;
                }
                (current.number, epoch.version, accepts_services)
            }
        };
        let tokens = FencingTokens::after(previous, live.all_support_token_range);
        let record = EpochRecord {
            number: Epoch(tokens.last.0),
            first_token: (tokens.first < tokens.last).then_some(tokens.first),
            leader: own_member.clone(),
            members: live.all.clone(),
            without_partition: live.without_partition.clone(),
            accepts_services,
        };
        let value = serde_json::to_value(record).ok()?;
        Some(put_if_unchanged(EPOCH_KEY.to_owned(), version, value, None))
    }

    /// Whether the epoch's record no longer matches the live members, or its attempt numbers are used up.
    fn is_outdated(
        &self,
        current: &EpochRecord,
        live: &LiveMembers,
        accepts_services: bool,
    ) -> bool {
        let members = &current.members;
        let has_member_left = members.iter().any(|member| !live.all.contains(member));
        let is_admissible =
            |candidate: &Candidate| candidate.consecutive_reads >= READS_BEFORE_MEMBER_ADMISSION;
        // The readiness of candidates does not count: they are not in the record yet.
        let not_ready = live.without_partition.iter();
        let members_not_ready = not_ready.filter(|member| members.contains(member));
        let has_readiness_changed = !members_not_ready.eq(current.without_partition.iter());
        has_member_left
            || self.candidates.iter().any(is_admissible)
            || has_readiness_changed
            || accepts_services != current.accepts_services
            || self.exhausted_epoch == current.number
    }

    fn all_support_services(&self) -> bool {
        self.all_controllers.is_subset(&self.service_supporters)
    }

    /// Whether the next epoch accepts services: all controllers support them, or the current epoch accepts them and
    /// all live members support them.
    fn next_epoch_accepts_services(&self, current: &EpochRecord, live: &LiveMembers) -> bool {
        let supports_services = |member: &Member| self.service_supporters.contains(&member.name);
        self.all_support_services()
            || (current.accepts_services && live.all.iter().all(supports_services))
    }
}

/// Live members that are not in the epoch, with their consecutive reads counted on from `candidates`.
fn next_candidates(
    candidates: &[Candidate],
    current: &EpochRecord,
    live: &LiveMembers,
) -> Vec<Candidate> {
    let previous_reads = |member: &Member| {
        let mut candidates = candidates.iter();
        let candidate = candidates.find(|candidate| candidate.member == *member);
        candidate.map_or(0, |candidate| candidate.consecutive_reads)
    };
    let is_not_in_epoch = |member: &&Member| !current.members.contains(member);
    live.all
        .iter()
        .filter(is_not_in_epoch)
        .map(|member| Candidate {
            member: member.clone(),
            consecutive_reads: previous_reads(member) + 1,
        })
        .collect()
}
