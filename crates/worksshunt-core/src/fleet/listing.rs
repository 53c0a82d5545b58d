//! What the cloud's list shows to be gone.
//!
//! A listed machine stays listed until it is gone, but a page of the list may describe an earlier
//! moment than one read before it. Which of two pages is the later one is told by the ages of the
//! machines that are on both.

use std::collections::BTreeMap;
use std::ops::Bound;

use worksshunt_wire::cloud::MachineList;
use worksshunt_wire::MachineId;

use crate::constants::fleet::LIST_AGE_MARGIN_S;

/// A machine's place in the cloud's own time. Times compare within a frame only: machines share one if
/// their pages could be put in order.
#[derive(Debug, Clone, Copy)]
struct Listed {
    frame: u64,
    /// When it was rented, seconds.
    born_s: f64,
    /// The latest moment at which it is known to have been listed.
    last_s: f64,
}

/// The machines listed so far.
#[derive(Debug, Default)]
pub(super) struct Listings {
    machines: BTreeMap<MachineId, Listed>,
    frames: u64,
}

impl Listings {
    /// Takes in the page that follows the machine `after`. Returns the machines that it shows to be gone.
    pub fn page(&mut self, after: Option<&MachineId>, page: &MachineList) -> Vec<MachineId> {
        let names = after.into_iter().chain(page.machines.iter().map(|m| &m.id));
        if !names.is_sorted_by(|a, b| a < b) {
            // Not the order the protocol gives, so nothing can be said of what is missing.
            return Vec::new();
        }
        // The moment the page describes, in each frame that it knows a machine of.
        let mut moments: BTreeMap<u64, f64> = BTreeMap::new();
        for machine in &page.machines {
            if let Some(listed) = self.machines.get(&machine.id) {
                let moment = listed.born_s + machine.age_s;
                let earliest = moments.entry(listed.frame).or_insert(moment);
                *earliest = earliest.min(moment);
            }
        }
        let (frame, moment) = match moments.first_key_value() {
            Some((frame, moment)) => (*frame, *moment),
            None => {
                self.frames += 1;
                (self.frames, 0.0)
            }
        };
        for machine in &page.machines {
            let listed = self.machines.entry(machine.id.clone()).or_insert(Listed {
                frame,
                born_s: moment - machine.age_s,
                last_s: moment,
            });
            let moment = moments.get(&listed.frame).copied().unwrap_or(moment);
            listed.last_s = listed.last_s.max(moment);
        }
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let to = match page.machines.last() {
            Some(last) if page.more => Bound::Included(&last.id),
            _ => Bound::Unbounded,
        };
        let mut on_page = page.machines.iter().map(|machine| &machine.id).peekable();
        let mut gone = Vec::new();
        for (id, listed) in self.machines.range::<MachineId, _>((from, to)) {
            while on_page.next_if(|other| *other < id).is_some() {}
            if on_page.next_if_eq(&id).is_some() {
                continue;
            }
            let later = moments
                .get(&listed.frame)
                .is_some_and(|moment| *moment > listed.last_s + LIST_AGE_MARGIN_S);
            if later {
                gone.push(id.clone());
            }
        }
        for id in &gone {
            self.machines.remove(id);
        }
        gone
    }
}

#[cfg(test)]
mod tests;
