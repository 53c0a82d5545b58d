//! Everything that the simulation schedules, and the queue that keeps it in order of time.
//!
//! The [`Cluster`] owns one queue. Events due at the same millisecond are applied in the order in which they were
//! scheduled, so a run depends on nothing but its seed.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use worksshunt_core::controller::{Event, KvPurpose, KvRequest};
use worksshunt_core::fleet::CloudRequest;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_core::machines::DirectCommands;
use worksshunt_core::time::Time;
use worksshunt_wire::key_value::CompareAndSwap;
use worksshunt_wire::peer::PeerRequest;
use worksshunt_wire::worker::Heartbeat;
use worksshunt_wire::MachineId;

use crate::Cluster;

/// One run of a controller, from its start to its crash. What is addressed to an earlier run is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ControllerRun {
    /// Which of the controllers it is.
    pub(crate) index: usize,
    /// The number of the run; no two runs of the cluster share one.
    pub(crate) incarnation: u64,
}

/// Who sent a request to the key-value store, and how long it waits for the response.
#[derive(Debug)]
pub(crate) struct KeyValueCaller {
    pub(crate) run: ControllerRun,
    pub(crate) purpose: KvPurpose,
    /// When it was sent, on the caller's clock.
    pub(crate) sent_at: Time,
    /// When the caller gives up, ms.
    pub(crate) deadline_at: u64,
}

/// A heartbeat that a worker sent, as its response and its deadline refer to it.
#[derive(Debug, Clone)]
pub(crate) struct SentHeartbeat {
    pub(crate) machine: MachineId,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) sent_at: u64,
}

/// Something that a scenario schedules for later.
pub(crate) type ScheduledAction = Box<dyn FnOnce(&mut Cluster)>;

/// What happens at a moment. Points of time are ms since the cluster's start.
pub(crate) enum SimulationEvent {
    Tick(ControllerRun),
    Dispatch {
        to: ControllerRun,
        event: Box<Event>,
    },
    KeyValueRequestArrives {
        caller: KeyValueCaller,
        request: KvRequest,
    },
    CloudRequestArrives {
        from: ControllerRun,
        request: CloudRequest,
    },
    PeerRequestArrives {
        from: ControllerRun,
        to: usize,
        id: RequestId,
        request: PeerRequest,
    },
    PeerDeadline {
        from: ControllerRun,
        id: RequestId,
    },
    CommandsArrive {
        from: ControllerRun,
        commands: DirectCommands,
        deadline_at: u64,
    },
    /// Commands reach a worker after their sender has given up on them.
    LateCommandsArrive {
        from: usize,
        commands: DirectCommands,
    },
    WorkerStep(MachineId),
    HeartbeatArrives {
        to: usize,
        heartbeat: Heartbeat,
        sent_at: u64,
    },
    HeartbeatCopyArrives {
        to: usize,
        heartbeat: Heartbeat,
    },
    HeartbeatResponseArrives {
        to: SentHeartbeat,
        response: HttpResponse,
    },
    HeartbeatDeadline(SentHeartbeat),
    LateWriteArrives(CompareAndSwap),
    Inspect,
    RunAction(ScheduledAction),
}

/// An event with the time at which it is due.
pub(crate) struct ScheduledEvent {
    /// Milliseconds since the start of the cluster.
    pub(crate) due_at: u64,
    /// Events due at the same time are applied in this order.
    order: u64,
    pub(crate) event: SimulationEvent,
}

impl ScheduledEvent {
    fn key(&self) -> (u64, u64) {
        (self.due_at, self.order)
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.key() == other.key()
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    /// Reversed: the heap's greatest element is the event due first.
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// Scheduled events, the earliest first.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<ScheduledEvent>,
    last_order: u64,
}

impl EventQueue {
    /// Schedules an event for a point of time, ms.
    pub(crate) fn push(&mut self, due_at: u64, event: SimulationEvent) {
        self.last_order += 1;
        self.heap.push(ScheduledEvent {
            due_at,
            order: self.last_order,
            event,
        });
    }

    /// Takes the next event that is due at a point of time or before.
    pub(crate) fn pop_due(&mut self, until: u64) -> Option<ScheduledEvent> {
        self.heap.peek().filter(|next| next.due_at <= until)?;
        self.heap.pop()
    }
}

impl Cluster {
    pub(crate) fn schedule_at(&mut self, due_at: u64, event: SimulationEvent) {
        self.event_queue.push(due_at, event);
    }

    /// Schedules an event for a controller, which is dropped if that run of it has ended by then.
    pub(crate) fn deliver_at(&mut self, due_at: u64, to: ControllerRun, event: Event) {
        let event = Box::new(event);
        self.schedule_at(due_at, SimulationEvent::Dispatch { to, event });
    }

    pub(crate) fn apply_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick(run) => self.tick(run),
            SimulationEvent::Dispatch { to, event } => self.dispatch(to, *event),
            SimulationEvent::KeyValueRequestArrives { caller, request } => {
                self.key_value_request(caller, request);
            }
            SimulationEvent::CloudRequestArrives { from, request } => {
                self.cloud_request_arrives(from, request);
            }
            SimulationEvent::PeerRequestArrives {
                from,
                to,
                id,
                request,
            } => self.peer_request_arrives(from, to, id, request),
            SimulationEvent::PeerDeadline { from, id } => self.peer_deadline(from, id),
            SimulationEvent::CommandsArrive {
                from,
                commands,
                deadline_at,
            } => self.commands_arrive(from, commands, deadline_at),
            SimulationEvent::LateCommandsArrive { from, commands } => {
                self.late_commands_arrive(from, &commands);
            }
            SimulationEvent::WorkerStep(id) => self.step_worker(&id),
            SimulationEvent::HeartbeatArrives {
                to,
                heartbeat,
                sent_at,
            } => self.heartbeat_arrives(to, heartbeat, sent_at),
            SimulationEvent::HeartbeatCopyArrives { to, heartbeat } => {
                self.heartbeat_copy_arrives(to, &heartbeat);
            }
            SimulationEvent::HeartbeatResponseArrives { to, response } => {
                self.heartbeat_response_arrives(&to, &response);
            }
            SimulationEvent::HeartbeatDeadline(sent) => self.heartbeat_deadline(sent),
            SimulationEvent::LateWriteArrives(write) => self.late_write_arrives(write),
            SimulationEvent::Inspect => self.inspect(),
            SimulationEvent::RunAction(action) => action(self),
        }
    }
}
