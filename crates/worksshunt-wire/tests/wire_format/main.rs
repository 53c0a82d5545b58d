//! Compares the encoding of every message with the files in `fixtures/`, byte by byte.
//!
//! A file of JSON messages is an object with one `"name": message` per line. Messages between controllers are in hex,
//! one `name hex` per line. A difference means that other programs or other versions of the controller cannot decode
//! the message: the code has to be corrected, not the file.

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
