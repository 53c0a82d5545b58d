//! The controllers of the cluster: start, crash, pause and event dispatch.

use std::collections::BTreeMap;
use std::time::Instant;

use worksshunt_core::constants::timers::TICK_MS;
use worksshunt_core::controller::{Action, Controller, Event};
use worksshunt_core::placement::PlacementParameters;
use worksshunt_core::time::{Now, Time};

use crate::events::{ControllerInstance, SimulationEvent};
use crate::resource_usage::ResourceUsage;
use crate::{Cluster, CONTROLLER_COUNT};

/// Wall-clock time at which a cluster is created: 1 January 2026, ms since the Unix epoch.
const WALL_CLOCK_START_MS: u64 = 1_767_225_600_000;

/// A running controller instance.
struct RunningController {
    controller: Controller,
    incarnation: u64,
    started_at: u64,
}

/// Actions that a controller returned while paused; performed on resume.
struct DeferredActions {
    from: ControllerInstance,
    /// The controller's clock when it returned the actions.
    clock: Time,
    actions: Vec<Action>,
}

/// An event that arrived while its controller was paused.
struct HeldEvent {
    to: ControllerInstance,
    event: Event,
}

/// A paused controller, which handles one more event and performs its actions on resume.
#[derive(Default)]
struct PausedController {
    /// `None` until the controller has handled an event since the pause began.
    deferred_actions: Option<DeferredActions>,
    /// Events that arrived after that one, in order of arrival.
    held_events: Vec<HeldEvent>,
}

/// The state of all controllers.
pub(crate) struct Controllers {
    /// By controller index; `None` for a controller that is down.
    running: Vec<Option<RunningController>>,
    last_incarnation: u64,
    paused: BTreeMap<usize, PausedController>,
    /// Overrides the maximum number of attempts in an epoch.
    max_attempts: Option<u64>,
}

impl Default for Controllers {
    fn default() -> Controllers {
        Controllers {
            running: (0..CONTROLLER_COUNT).map(|_| None).collect(),
            last_incarnation: 0,
            paused: BTreeMap::new(),
            max_attempts: None,
        }
    }
}

impl Controllers {
    /// Returns whether every controller is up and not paused.
    pub(crate) fn are_all_active(&self) -> bool {
        self.running.iter().all(Option::is_some) && self.paused.is_empty()
    }
}

impl Cluster {
    /// Starts a controller. Replaces the running instance, if any.
    pub fn start(&mut self, controller: usize) {
        let settings = &self.settings[controller];
        self.invariants.set_limits(settings);
        let mut new_controller = Controller::new(settings.clone(), PlacementParameters::default());
        let controllers = &mut self.controllers;
        controllers.last_incarnation += 1;
        controllers.paused.remove(&controller);
        if let Some(max_attempts) = controllers.max_attempts {
            new_controller.limit_attempts(max_attempts);
        }
        let instance = ControllerInstance {
            index: controller,
            incarnation: controllers.last_incarnation,
        };
        controllers.running[controller] = Some(RunningController {
            controller: new_controller,
            incarnation: instance.incarnation,
            started_at: self.now,
        });
        self.schedule_at(self.now, SimulationEvent::Tick(instance));
        self.repeat_commands_at_start();
    }

    /// Limits the number of attempts in an epoch; a leader that reaches the limit begins a new epoch.
    pub fn limit_attempts(&mut self, max_attempts: u64) {
        self.controllers.max_attempts = Some(max_attempts);
        for running in self.controllers.running.iter_mut().flatten() {
            running.controller.limit_attempts(max_attempts);
        }
    }

    /// Crashes a controller.
    pub fn crash(&mut self, controller: usize) {
        self.controllers.running[controller] = None;
        self.controllers.paused.remove(&controller);
    }

    /// Crashes a controller and starts it again after a delay, ms.
    pub fn restart(&mut self, controller: usize, delay_ms: u64) {
        self.crash(controller);
        self.schedule(delay_ms, move |cluster| cluster.start(controller));
    }

    /// Pauses a controller for a duration, ms. It still handles its next event, but performs the resulting actions only
    /// on resume, as after a stall of the process between a decision and its messages.
    pub fn pause(&mut self, controller: usize, duration_ms: u64) {
        self.controllers.paused.entry(controller).or_default();
        self.schedule(duration_ms, move |cluster| cluster.resume(controller));
    }

    fn resume(&mut self, controller: usize) {
        let Some(paused) = self.controllers.paused.remove(&controller) else {
            return;
        };
        self.record_effect("pause");
        if let Some(deferred) = paused.deferred_actions {
            for action in deferred.actions {
                self.perform(deferred.from, deferred.clock, action);
            }
        }
        for held in paused.held_events {
            self.dispatch(held.to, held.event);
        }
    }

    /// Returns whether a controller is up; a paused one is.
    pub fn is_up(&self, controller: usize) -> bool {
        self.controllers.running[controller].is_some()
    }

    /// Returns the incarnation of a controller's running instance; `None` if it is down.
    pub fn controller_incarnation(&self, controller: usize) -> Option<u64> {
        self.current_instance(controller)
            .map(|instance| instance.incarnation)
    }

    pub(crate) fn current_instance(&self, controller: usize) -> Option<ControllerInstance> {
        let running = self.controllers.running[controller].as_ref()?;
        Some(ControllerInstance {
            index: controller,
            incarnation: running.incarnation,
        })
    }

    /// Returns the number of workers that send their heartbeats to a controller.
    pub fn workers_reporting_to(&self, controller: usize) -> usize {
        self.workers
            .values()
            .filter(|worker| worker.controller == controller)
            .count()
    }

    /// Returns the index of the leader according to the key-value store.
    ///
    /// # Panics
    ///
    /// No epoch has begun.
    pub fn leader(&self) -> usize {
        let epoch = self.stored("c/epoch").expect("an epoch");
        let name = epoch["leader"]["name"].as_str().expect("a name");
        name[1..].parse().expect("a number")
    }

    pub(crate) fn tick(&mut self, instance: ControllerInstance) {
        if self.current_instance(instance.index) == Some(instance) {
            self.dispatch(instance, Event::Tick);
            self.schedule_at(self.now + TICK_MS, SimulationEvent::Tick(instance));
        }
    }

    /// Dispatches an event to a controller instance and performs the resulting actions. Drops the event if the instance
    /// has ended; defers events or actions while it is paused.
    pub(crate) fn dispatch(&mut self, to: ControllerInstance, event: Event) {
        let now = self.now;
        let running = self.controllers.running[to.index].as_mut();
        let Some(running) = running.filter(|running| running.incarnation == to.incarnation) else {
            return;
        };
        let paused = self.controllers.paused.get_mut(&to.index);
        if let Some(paused) = paused.filter(|paused| paused.deferred_actions.is_some()) {
            paused.held_events.push(HeldEvent { to, event });
            return;
        }
        let clock = Time(now - running.started_at);
        let times = Now {
            steady: clock,
            wall_ms: WALL_CLOCK_START_MS + now,
        };
        if let Some(digest) = &mut self.digest {
            digest.add_received(now, to.index, &event);
        }
        let event_kind = ResourceUsage::event_kind(&event);
        let handling_start = Instant::now();
        let actions = running.controller.handle(times, event, &|| clock);
        if let Some(handling_times) = &mut self.usage.handling_times {
            let durations = handling_times.entry(event_kind).or_default();
            durations.push(handling_start.elapsed());
        }
        if let Some(paused) = self.controllers.paused.get_mut(&to.index) {
            paused.deferred_actions = Some(DeferredActions {
                from: to,
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
