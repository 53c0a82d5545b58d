//! Detection of terminated machines in the cloud's machine list.
//!
//! A machine stays listed until it is terminated, but a page may show an earlier state than a page that was read
//! before. The ages of the machines that two pages have in common tell which page is later. The fleet passes each page
//! that it reads to its [`Listings`].

use std::collections::BTreeMap;
use std::ops::Bound;

use worksshunt_wire::cloud::MachineList;
use worksshunt_wire::MachineId;

use crate::constants::fleet::MACHINE_LIST_AGE_MARGIN_S;

/// Identifies a time frame: a set of pages that are ordered by the machines they have in common. Times are comparable
/// only within a frame.
type FrameId = u64;

/// Time of a page in each time frame that it has a machine in common with, seconds.
type PageTimes = BTreeMap<FrameId, f64>;

/// Times of a listed machine, by the cloud's clock.
#[derive(Debug, Clone, Copy)]
struct ListedTimes {
    frame: FrameId,
    /// Time at which its age was zero, seconds in its frame.
    started_s: f64,
    /// Time of the latest page that listed it, seconds in its frame.
    last_listed_s: f64,
}

/// Machines listed so far that are not terminated.
#[derive(Debug, Default)]
pub(super) struct Listings {
    machines: BTreeMap<MachineId, ListedTimes>,
    last_frame_id: FrameId,
}

impl Listings {
    /// Applies the page that follows the machine `after`, or the first page if `after` is `None`. Returns the machines
    /// that the page proves to be terminated: none if its machines are not in order, because then a missing machine
    /// proves nothing.
    pub fn apply_page(&mut self, after: Option<&MachineId>, page: &MachineList) -> Vec<MachineId> {
        let ids = page.machines.iter().map(|machine| &machine.id);
        if !after.into_iter().chain(ids).is_sorted_by(|a, b| a < b) {
            return Vec::new();
        }
        let page_times = self.page_times(page);
        self.record(page, &page_times);
        let terminated = self.terminated_machines(after, page, &page_times);
        for id in &terminated {
            self.machines.remove(id);
        }
        terminated
    }

    fn page_times(&self, page: &MachineList) -> PageTimes {
        let mut page_times = PageTimes::new();
        for machine in &page.machines {
            if let Some(listed) = self.machines.get(&machine.id) {
                let page_time_s = listed.started_s + machine.age_s;
                let earliest_s = page_times.entry(listed.frame).or_insert(page_time_s);
                *earliest_s = earliest_s.min(page_time_s);
            }
        }
        page_times
    }

    /// Records the machines of a page. New machines join the first frame of the page, or a new frame if the page has no
    /// machine in common with earlier pages.
    fn record(&mut self, page: &MachineList, page_times: &PageTimes) {
        let (frame, page_time_s) = match page_times.first_key_value() {
            Some((frame, page_time_s)) => (*frame, *page_time_s),
            None => {
                self.last_frame_id += 1;
                (self.last_frame_id, 0.0)
            }
        };
        for machine in &page.machines {
            let listed = self
                .machines
                .entry(machine.id.clone())
                .or_insert(ListedTimes {
                    frame,
                    started_s: page_time_s - machine.age_s,
                    last_listed_s: page_time_s,
                });
            let page_time_s = page_times
                .get(&listed.frame)
                .copied()
                .unwrap_or(page_time_s);
            listed.last_listed_s = listed.last_listed_s.max(page_time_s);
        }
    }

    /// Machines in the page's range that are missing from it although it is later than the last page that listed them.
    fn terminated_machines(
        &self,
        after: Option<&MachineId>,
        page: &MachineList,
        page_times: &PageTimes,
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
            let is_later = page_times.get(&listed.frame).is_some_and(|page_time_s| {
                *page_time_s > listed.last_listed_s + MACHINE_LIST_AGE_MARGIN_S
            });
            if is_later {
                terminated.push(id.clone());
            }
        }
        terminated
    }
}

#[cfg(test)]
mod tests;
