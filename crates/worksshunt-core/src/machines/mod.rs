//! The machines of this controller's partition and the attempts on them.
//!
//! Three rules prevent a task from running twice:
//!
//! - The launch of an attempt is sent only after its record is durable in the key-value store.
//! - A reap is sent only under a higher fencing token than every direct launch sent to the worker, so no copy of such a
//!   launch takes effect after it.
//! - An attempt is considered ended only if a heartbeat that cannot predate the launch does not list it, the worker has
//!   a later incarnation, the worker's lease has expired by its latest possible renewal, or the cloud has confirmed the
//!   machine's termination.
//!
//! The controller owns the `Partition` and passes it heartbeats, outcomes of direct commands, the leader's directives
//! and the current time. Processing is incremental: sets hold the machines and attempts for which a record, a command
//! or a status update is pending.

mod assignment_queue;
mod attempt;
mod attempts;
mod commands;
mod epoch_transition;
mod expiry;
mod heartbeat_history;
mod heartbeat_response;
mod heartbeats;
mod machine;
mod partition;
mod partition_sync;
mod pending_updates;
mod placement_order;
mod queued_placement;
mod reachability;
mod sequence_number;
mod task_status;
mod unexpected_attempts;
mod worker_lease;
mod worker_token;

pub use commands::{DirectCommands, DirectCommandsOutcome};
pub(crate) use epoch_transition::EpochStart;
pub(crate) use heartbeats::HeartbeatOutcome;
pub(crate) use partition::Partition;
pub(crate) use worker_lease::max_worker_lease_ms;

#[cfg(test)]
mod fixtures;
