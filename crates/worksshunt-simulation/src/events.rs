//! The simulation's events and the queue that orders them by time.
//!
//! The [`Cluster`] owns one queue. Events due in the same millisecond are applied in the order in which they were
//! scheduled, which keeps a run deterministic.

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

/// One instance of a controller, from its start to its crash. Events addressed to an earlier instance are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ControllerInstance {
    /// Index of the controller.
    pub(crate) index: usize,
    /// Unique among all instances in the cluster.
    pub(crate) incarnation: u64,
}

/// The sender of a request to the key-value store, with the request's deadline.
#[derive(Debug)]
pub(crate) struct KeyValueCaller {
    pub(crate) instance: ControllerInstance,
    pub(crate) purpose: KvPurpose,
    /// When the request was sent, on the caller's clock.
    pub(crate) sent_at: Time,
    /// When the caller stops waiting for the response, ms.
    pub(crate) deadline_at: u64,
}

/// Identifies a heartbeat that a worker sent, for its response and its deadline.
#[derive(Debug, Clone)]
pub(crate) struct SentHeartbeat {
    pub(crate) machine: MachineId,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) sent_at: u64,
}

/// A closure scheduled to run on the cluster.
pub(crate) type ScheduledAction = Box<dyn FnOnce(&mut Cluster)>;

/// A scheduled event. Times are ms since the cluster was created.
pub(crate) enum SimulationEvent {
    Tick(ControllerInstance),
    Dispatch {
        to: ControllerInstance,
        event: Box<Event>,
    },
    KeyValueRequestArrives {
        caller: KeyValueCaller,
        request: KvRequest,
    },
    CloudRequestArrives {
        from: ControllerInstance,
        request: CloudRequest,
    },
    PeerRequestArrives {
        from: ControllerInstance,
        to: usize,
        id: RequestId,
        request: PeerRequest,
    },
    /// A request that was answered before arrives once more.
    PeerRequestArrivesAgain {
        to: usize,
        request: PeerRequest,
    },
    PeerDeadline {
        from: ControllerInstance,
        id: RequestId,
    },
    CommandsArrive {
        from: ControllerInstance,
        commands: DirectCommands,
        deadline_at: u64,
    },
    /// Commands arrive at a worker after the sender's deadline.
    CommandsArriveAfterDeadline {
        from: usize,
        commands: DirectCommands,
    },
    /// Commands that were answered before arrive once more.
    CommandsArriveAgain(DirectCommands),
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
    DelayedWriteArrives(CompareAndSwap),
    Inspect,
    RunAction(ScheduledAction),
}

/// An event with the time at which it is due.
pub(crate) struct ScheduledEvent {
    /// Milliseconds since the cluster was created.
    pub(crate) due_at: u64,
    /// Orders events that are due at the same time.
    sequence: u64,
    pub(crate) event: SimulationEvent,
}

impl ScheduledEvent {
    fn key(&self) -> (u64, u64) {
        (self.due_at, self.sequence)
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
    /// Reversed, so that the max-heap yields the earliest event first.
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// A priority queue of scheduled events, earliest first.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<ScheduledEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event at a time, ms.
    pub(crate) fn push(&mut self, due_at: u64, event: SimulationEvent) {
        self.last_sequence += 1;
        self.heap.push(ScheduledEvent {
            due_at,
            sequence: self.last_sequence,
            event,
        });
    }

    /// Removes and returns the next event that is due at or before a time.
    pub(crate) fn pop_due(&mut self, time: u64) -> Option<ScheduledEvent> {
        self.heap.peek().filter(|next| next.due_at <= time)?;
        self.heap.pop()
    }
}

impl Cluster {
    pub(crate) fn schedule_at(&mut self, due_at: u64, event: SimulationEvent) {
        self.event_queue.push(due_at, event);
    }

    /// Schedules an event for a controller instance. It is dropped if the instance has ended by then.
    pub(crate) fn deliver_at(&mut self, due_at: u64, to: ControllerInstance, event: Event) {
        let event = Box::new(event);
        self.schedule_at(due_at, SimulationEvent::Dispatch { to, event });
    }

    pub(crate) fn apply_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick(instance) => self.tick(instance),
            SimulationEvent::Dispatch { to, event } => self.dispatch(to, *event),
            SimulationEvent::KeyValueRequestArrives { caller, request } => {
                self.key_value_request_arrives(caller, request);
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
            SimulationEvent::PeerRequestArrivesAgain { to, request } => {
                self.peer_request_arrives_again(to, request);
            }
            SimulationEvent::PeerDeadline { from, id } => self.peer_deadline(from, id),
            SimulationEvent::CommandsArrive {
                from,
                commands,
                deadline_at,
            } => self.commands_arrive(from, commands, deadline_at),
            SimulationEvent::CommandsArriveAfterDeadline { from, commands } => {
                self.commands_arrive_after_deadline(from, &commands);
            }
            SimulationEvent::CommandsArriveAgain(commands) => self.commands_arrive_again(&commands),
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
            SimulationEvent::DelayedWriteArrives(write) => self.delayed_write_arrives(write),
            SimulationEvent::Inspect => self.inspect(),
            SimulationEvent::RunAction(action) => action(self),
        }
    }
}
