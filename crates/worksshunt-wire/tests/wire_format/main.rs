//! The exact bytes of every message, against files in `fixtures/`.
//!
//! A file of JSON messages is an object with one message per line, as `"name": message`; the messages
//! between controllers are in hex, one `name hex` per line. A difference means that other programs, or a
//! controller of another version, no longer understand this one: the code is wrong, not the file.

use worksshunt_wire::{JobId, MachineId, TaskId};

mod cloud;
mod fixtures;
mod key_value;
mod peer;
mod settings;
mod user;
mod worker;

fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        index,
    }
}

fn machines(names: &[&str]) -> Vec<MachineId> {
    names.iter().map(|name| MachineId::from(*name)).collect()
}
