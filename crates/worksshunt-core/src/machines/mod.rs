//! The machines of this controller's partition and the attempts on them.
//!
//! Two rules keep a task from running twice. An attempt is on a durable record in the key-value store before its
//! launch is sent. And it counts as gone only when a heartbeat that cannot predate the launch shows so, when the
//! worker's incarnation is a later one, when the last possible lease has expired, or when the cloud has confirmed the
//! machine's termination.
//!
//! The state is the [`Partition`], owned by the controller, which passes it every heartbeat, every outcome of direct
//! commands, the leader's directives and the time. Only what changed is processed: sets name the machines and attempts
//! that have to be recorded, sent commands or reported to the leader.

mod assignment_queue;
mod attempt;
mod attempts;
mod commands;
mod expiry;
mod heartbeat_history;
mod heartbeat_response;
mod heartbeats;
mod loading;
mod machine;
mod partition;
mod partition_sync;
mod pending_updates;
mod queued_placement;
mod reachability;
mod sequence_number;
mod task_status;
mod worker_lease;

pub use commands::{DirectCommands, DirectCommandsOutcome};
pub use heartbeats::HeartbeatOutcome;
pub use loading::EpochStart;
pub use partition::Partition;
pub use worker_lease::lease_bound_ms;

#[cfg(test)]
mod fixtures;
