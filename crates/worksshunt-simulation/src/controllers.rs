//! The controllers of the cluster: their starts, ends and pauses.

use std::time::Instant;

use worksshunt_core::controller::{Controller, Event};
use worksshunt_core::placement::Parameters;
use worksshunt_core::time::{Now, Time};

use super::*;

impl Cluster {
    /// Starts a controller, ending its former life if there is one.
    pub fn start(&mut self, node: usize) {
        self.incarnations_started += 1;
        self.invariants.keep(&self.settings[node]);
        self.paused.remove(&node);
        let mut controller = Controller::new(self.settings[node].clone(), Parameters::default());
        if let Some(most) = self.attempts_most {
            controller.limit_attempts(most);
        }
        self.nodes[node] = Some(SimulatedController {
            controller,
            incarnation: self.incarnations_started,
            started_at: self.now,
        });
        self.schedule_at(
            self.now,
            SimulationEvent::Tick(node, self.incarnations_started),
        );
    }

    /// Has leaders begin a new epoch after so many attempts.
    pub fn limit_attempts(&mut self, most: u64) {
        self.attempts_most = Some(most);
        for node in self.nodes.iter_mut().flatten() {
            node.controller.limit_attempts(most);
        }
    }

    /// Ends a controller without a word.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node] = None;
        self.paused.remove(&node);
    }

    /// Ends a controller and starts it again after so long.
    pub fn restart(&mut self, node: usize, ms: u64) {
        self.crash(node);
        self.schedule(ms, move |cluster| cluster.start(node));
    }

    /// A controller stands still for so long, in the middle of what it does next.
    pub fn pause(&mut self, node: usize, ms: u64) {
        self.paused.entry(node).or_default();
        self.schedule(ms, move |cluster| {
            let Some(frozen) = cluster.paused.remove(&node) else {
                return;
            };
            cluster.record_effect("freeze");
            if let Some((incarnation, steady, actions)) = frozen.decided {
                for action in actions {
                    cluster.perform(node, incarnation, steady, action);
                }
            }
            for (incarnation, event) in frozen.came {
                cluster.dispatch(node, incarnation, event);
            }
        });
    }

    /// Whether a controller is there.
    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].is_some()
    }

    /// Which of its lives a controller is in; none if it is down.
    pub fn controller_incarnation(&self, node: usize) -> Option<u64> {
        self.nodes[node].as_ref().map(|n| n.incarnation)
    }

    /// How many machines report to a controller.
    pub fn reporting_to(&self, node: usize) -> usize {
        self.workers
            .values()
            .filter(|w| w.controller == node)
            .count()
    }

    /// The controller that leads by the store's word.
    pub fn leader(&self) -> usize {
        let (epoch, _, _) = &self.key_value_store.keys["c/epoch"];
        let name = epoch["leader"]["name"].as_str().expect("a name");
        name[1..].parse().expect("a number")
    }

    pub(super) fn dispatch(&mut self, node: usize, incarnation: u64, event: Event) {
        let now = self.now;
        let Some(state) = self.nodes[node]
            .as_mut()
            .filter(|n| n.incarnation == incarnation)
        else {
            return;
        };
        let frozen = self.paused.get_mut(&node);
        if let Some(frozen) = frozen.filter(|frozen| frozen.decided.is_some()) {
            frozen.came.push((incarnation, event));
            return;
        }
        let steady = Time(now - state.started_at);
        let at = Now {
            steady,
            wall_ms: WALL_MS + now,
        };
        if let Some(digest) = &mut self.digest {
            digest.received(now, node, &event);
        }
        let kind = ResourceUsage::kind(&event);
        let began = Instant::now();
        let actions = state.controller.handle(at, event, &|| steady);
        if let Some(took) = &mut self.usage.took {
            took.entry(kind).or_default().push(began.elapsed());
        }
        if let Some(frozen) = self.paused.get_mut(&node) {
            frozen.decided = Some((incarnation, steady, actions));
            return;
        }
        for action in actions {
            self.perform(node, incarnation, steady, action);
        }
    }
}
