//! Message types of worksshunt, for the service itself and for clients of it.
//!
//! Protocol names appear only in serde renames; Rust names are the field's usual terms.

pub mod cloud;
pub mod ids;
pub mod key_value;
pub mod peer;
pub mod settings;
pub mod user;
pub mod worker;

pub use ids::{
    Attempt, ControllerName, Epoch, Incarnation, JobId, MachineId, Revision, TaskId, TeamName,
};
