//! Which machines the cloud's list shows to be gone.
//!
//! A listed machine stays listed until it is gone, but a page of the list may describe an earlier
//! moment than a page read before it. The ages of the machines that are on both pages show which is
//! later. [`Listings`] belongs to the fleet, which applies each page it reads.

use std::collections::BTreeMap;
use std::ops::Bound;

use worksshunt_wire::cloud::MachineList;
use worksshunt_wire::MachineId;

use crate::constants::fleet::MACHINE_LIST_AGE_MARGIN_S;

/// Identifies a time frame: a set of pages that could be ordered by the machines they share. Times compare
/// only within a frame.
type FrameId = u64;

/// The moment that a page describes in each time frame that it shares a machine with, seconds.
type Moments = BTreeMap<FrameId, f64>;

/// A machine that was listed, with its times in the cloud's clock.
#[derive(Debug, Clone, Copy)]
struct ListedTimes {
    frame: FrameId,
    /// When its age was zero, seconds in its frame.
    started_s: f64,
    /// The latest moment at which it is known to have been listed, seconds in its frame.
    last_listed_s: f64,
}

/// The machines listed so far.
#[derive(Debug, Default)]
pub(super) struct Listings {
    machines: BTreeMap<MachineId, ListedTimes>,
    last_frame: FrameId,
}

impl Listings {
    /// Applies the page that follows the machine `after`. Returns the machines that it proves to be terminated; none
    /// if the page is not in the order of the protocol, so that nothing can be concluded from what is missing.
    pub fn apply_page(&mut self, after: Option<&MachineId>, page: &MachineList) -> Vec<MachineId> {
        let ids = page.machines.iter().map(|machine| &machine.id);
        if !after.into_iter().chain(ids).is_sorted_by(|a, b| a < b) {
            return Vec::new();
        }
        let moments = self.moments(page);
        self.record(page, &moments);
        let terminated = self.terminated_machines(after, page, &moments);
        for id in &terminated {
            self.machines.remove(id);
        }
        terminated
    }

    fn moments(&self, page: &MachineList) -> Moments {
        let mut moments = Moments::new();
        for machine in &page.machines {
            if let Some(listed) = self.machines.get(&machine.id) {
                let moment = listed.started_s + machine.age_s;
                let earliest = moments.entry(listed.frame).or_insert(moment);
                *earliest = earliest.min(moment);
            }
        }
        moments
    }

    /// Records the machines of a page. New ones join the first frame of the page, or a new frame if it shares
    /// no machine with earlier pages.
    fn record(&mut self, page: &MachineList, moments: &Moments) {
        let (frame, moment) = match moments.first_key_value() {
            Some((frame, moment)) => (*frame, *moment),
            None => {
                self.last_frame += 1;
                (self.last_frame, 0.0)
            }
        };
        for machine in &page.machines {
            let listed = self
                .machines
                .entry(machine.id.clone())
                .or_insert(ListedTimes {
                    frame,
                    started_s: moment - machine.age_s,
                    last_listed_s: moment,
                });
            let moment = moments.get(&listed.frame).copied().unwrap_or(moment);
            listed.last_listed_s = listed.last_listed_s.max(moment);
        }
    }

    /// The machines in the page's range that are missing from it though it is later than the last page that
    /// had them.
    fn terminated_machines(
        &self,
        after: Option<&MachineId>,
        page: &MachineList,
        moments: &Moments,
    ) -> Vec<MachineId> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let end = match page.machines.last() {
            Some(last) if page.has_more => Bound::Included(&last.id),
            _ => Bound::Unbounded,
        };
        let mut on_page = page.machines.iter().map(|machine| &machine.id).peekable();
        let mut terminated = Vec::new();
        for (id, listed) in self.machines.range::<MachineId, _>((start, end)) {
            while on_page.next_if(|other| *other < id).is_some() {}
            if on_page.next_if_eq(&id).is_some() {
                continue;
            }
            let is_later = moments
                .get(&listed.frame)
                .is_some_and(|moment| *moment > listed.last_listed_s + MACHINE_LIST_AGE_MARGIN_S);
            if is_later {
                terminated.push(id.clone());
            }
        }
        terminated
    }
}

#[cfg(test)]
mod tests;
