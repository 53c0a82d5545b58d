//! The controllers of the cluster: their starts, crashes and pauses, and the events dispatched to them.

use std::collections::BTreeMap;
use std::time::Instant;

use worksshunt_core::constants::timers::TICK_MS;
use worksshunt_core::controller::{Action, Controller, Event};
use worksshunt_core::placement::PlacementParameters;
use worksshunt_core::time::{Now, Time};

use crate::events::{ControllerRun, SimulationEvent};
use crate::resource_usage::ResourceUsage;
use crate::{Cluster, CONTROLLERS};

/// 1 January 2026, at which a cluster starts, ms since 1970.
const WALL_CLOCK_START_MS: u64 = 1_767_225_600_000;

/// A controller that is up.
struct RunningController {
    controller: Controller,
    incarnation: u64,
    started_at: u64,
}

/// What a controller had decided when it was paused.
struct Decision {
    by: ControllerRun,
    /// Its own time at that moment.
    clock: Time,
    actions: Vec<Action>,
}

/// An event that reached a paused controller.
struct HeldEvent {
    to: ControllerRun,
    event: Event,
}

/// A paused controller, with what it was doing and what has arrived meanwhile.
#[derive(Default)]
struct PausedController {
    /// Performed when it goes on.
    decided: Option<Decision>,
    arrived: Vec<HeldEvent>,
}

/// The controllers, each up or down, and those of them that are paused.
pub(crate) struct Controllers {
    running: Vec<Option<RunningController>>,
    last_incarnation: u64,
    paused: BTreeMap<usize, PausedController>,
    /// Attempts per epoch, if fewer than there are numbers.
    max_attempts: Option<u64>,
}

impl Default for Controllers {
    fn default() -> Controllers {
        Controllers {
            running: (0..CONTROLLERS).map(|_| None).collect(),
            last_incarnation: 0,
            paused: BTreeMap::new(),
            max_attempts: None,
        }
    }
}

impl Controllers {
    /// Whether all are up and none is paused.
    pub(crate) fn are_all_active(&self) -> bool {
        self.running.iter().all(Option::is_some) && self.paused.is_empty()
    }
}

impl Cluster {
    /// Starts a controller, ending its former run if there is one.
    pub fn start(&mut self, controller: usize) {
        let settings = &self.settings[controller];
        self.invariants.set_limits(settings);
        let mut started = Controller::new(settings.clone(), PlacementParameters::default());
        let controllers = &mut self.controllers;
        controllers.last_incarnation += 1;
        controllers.paused.remove(&controller);
        if let Some(max_attempts) = controllers.max_attempts {
            started.limit_attempts(max_attempts);
        }
        let run = ControllerRun {
            index: controller,
            incarnation: controllers.last_incarnation,
        };
        controllers.running[controller] = Some(RunningController {
            controller: started,
            incarnation: run.incarnation,
            started_at: self.now,
        });
        self.schedule_at(self.now, SimulationEvent::Tick(run));
    }

    /// Has leaders begin a new epoch after so many attempts.
    pub fn limit_attempts(&mut self, max_attempts: u64) {
        self.controllers.max_attempts = Some(max_attempts);
        for running in self.controllers.running.iter_mut().flatten() {
            running.controller.limit_attempts(max_attempts);
        }
    }

    /// Ends a controller without notice.
    pub fn crash(&mut self, controller: usize) {
        self.controllers.running[controller] = None;
        self.controllers.paused.remove(&controller);
    }

    /// Ends a controller and starts it again after so long.
    pub fn restart(&mut self, controller: usize, ms: u64) {
        self.crash(controller);
        self.schedule(ms, move |cluster| cluster.start(controller));
    }

    /// Pauses a controller for so long, in the middle of what it does next.
    pub fn pause(&mut self, controller: usize, ms: u64) {
        self.controllers.paused.entry(controller).or_default();
        self.schedule(ms, move |cluster| cluster.resume(controller));
    }

    fn resume(&mut self, controller: usize) {
        let Some(paused) = self.controllers.paused.remove(&controller) else {
            return;
        };
        self.record_effect("pause");
        if let Some(decision) = paused.decided {
            for action in decision.actions {
                self.perform(decision.by, decision.clock, action);
            }
        }
        for held in paused.arrived {
            self.dispatch(held.to, held.event);
        }
    }

    /// Whether a controller is up.
    pub fn is_up(&self, controller: usize) -> bool {
        self.controllers.running[controller].is_some()
    }

    /// Number of the run that a controller is in; none if it is down.
    pub fn controller_incarnation(&self, controller: usize) -> Option<u64> {
        self.current_run(controller).map(|run| run.incarnation)
    }

    pub(crate) fn current_run(&self, controller: usize) -> Option<ControllerRun> {
        let running = self.controllers.running[controller].as_ref()?;
        Some(ControllerRun {
            index: controller,
            incarnation: running.incarnation,
        })
    }

    /// How many machines report to a controller.
    pub fn reporting_to(&self, controller: usize) -> usize {
        self.workers
            .values()
            .filter(|worker| worker.controller == controller)
            .count()
    }

    /// The leader according to the key-value store.
    ///
    /// # Panics
    ///
    /// No epoch has begun.
    pub fn leader(&self) -> usize {
        let epoch = self.stored("c/epoch").expect("an epoch");
        let name = epoch["leader"]["name"].as_str().expect("a name");
        name[1..].parse().expect("a number")
    }

    pub(crate) fn tick(&mut self, run: ControllerRun) {
        if self.current_run(run.index) == Some(run) {
            self.dispatch(run, Event::Tick);
            self.schedule_at(self.now + TICK_MS, SimulationEvent::Tick(run));
        }
    }

    /// Has a controller handle an event and performs what it decides, unless that run of it is over or it is paused.
    pub(crate) fn dispatch(&mut self, to: ControllerRun, event: Event) {
        let now = self.now;
        let running = self.controllers.running[to.index].as_mut();
        let Some(running) = running.filter(|running| running.incarnation == to.incarnation) else {
            return;
        };
        let paused = self.controllers.paused.get_mut(&to.index);
        if let Some(paused) = paused.filter(|paused| paused.decided.is_some()) {
            paused.arrived.push(HeldEvent { to, event });
            return;
        }
        let clock = Time(now - running.started_at);
        let times = Now {
            steady: clock,
            wall_ms: WALL_CLOCK_START_MS + now,
        };
        if let Some(digest) = &mut self.digest {
            digest.received(now, to.index, &event);
        }
        let kind = ResourceUsage::kind(&event);
        let handling_began = Instant::now();
        let actions = running.controller.handle(times, event, &|| clock);
        if let Some(took) = &mut self.usage.took {
            let durations = took.entry(kind).or_default();
            durations.push(handling_began.elapsed());
        }
        if let Some(paused) = self.controllers.paused.get_mut(&to.index) {
            paused.decided = Some(Decision {
                by: to,
                clock,
                actions,
            });
            return;
        }
        for action in actions {
            self.perform(to, clock, action);
        }
    }
}
