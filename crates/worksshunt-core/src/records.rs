//! Machines' records: which attempts may be on which machine.
//!
//! `a/EPOCH.OWNER.N` is a page of attempts that an owner wrote in an epoch. Nothing is launched
//! before it is on a page. Pages of former epochs are kept by the leader, until none of their
//! attempts can be on a machine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::state::Pair;
use worksshunt_wire::{Attempt, Epoch, MachineId, NodeName, Session, TaskId};

use crate::pages::Entry;

/// Prefix of the machines' records.
pub const RECORDS: &str = "a/";

/// Version of the records' form.
const FORM: u32 = 2;

/// Prefix of one owner's pages in an epoch.
pub fn page_prefix(epoch: Epoch, owner: &NodeName) -> String {
    format!("{RECORDS}{epoch}.{owner}.")
}

/// An attempt that may be on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Recorded {
    /// The machine.
    pub machine: MachineId,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The worker's session it is meant for.
    pub session: Session,
}

#[derive(Serialize, Deserialize)]
struct Stored {
    v: u32,
    on: Vec<(MachineId, TaskId, Attempt, Session)>,
}

impl Entry for Recorded {
    type Key = Attempt;

    fn size(&self, _: &Attempt) -> usize {
        let digits = |number: u64| number.checked_ilog10().unwrap_or(0) as usize + 1;
        let task = digits(self.task.job.0).max(6) + digits(self.task.index.into()) + 3;
        let numbers = digits(self.attempt.0) + digits(self.session.0);
        // Two texts in quotes, two numbers, and what stands between them.
        self.machine.0.len() + task + numbers + 10
    }

    fn join(&mut self, later: Recorded) {
        *self = later;
    }

    fn value(entries: &BTreeMap<Attempt, Recorded>) -> Value {
        let on = entries
            .values()
            .map(|r| (r.machine.clone(), r.task, r.attempt, r.session))
            .collect();
        serde_json::json!(Stored { v: FORM, on })
    }
}

/// A record that this version of the program does not understand.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("record {0} was written by another version of the program")]
pub struct UnknownForm(pub String);

/// Reads a page. The first release kept one key per machine, which is understood too.
pub fn read(pair: &Pair) -> Result<Vec<Recorded>, UnknownForm> {
    let unknown = || UnknownForm(pair.key.clone());
    let name = pair.key.strip_prefix(RECORDS).ok_or_else(unknown)?;
    if let Ok(old) = Vec::<(TaskId, Attempt, Session)>::deserialize(&pair.value) {
        let on = old.into_iter().map(|(task, attempt, session)| Recorded {
            machine: name.into(),
            task,
            attempt,
            session,
        });
        return Ok(on.collect());
    }
    match Stored::deserialize(&pair.value) {
        Ok(Stored { v: FORM, on }) => Ok(on
            .into_iter()
            .map(|(machine, task, attempt, session)| Recorded {
                machine,
                task,
                attempt,
                session,
            })
            .collect()),
        _ => Err(unknown()),
    }
}

#[cfg(test)]
mod tests {
    use worksshunt_wire::{JobId, Revision};

    use super::*;

    fn pair(value: Value) -> Pair {
        Pair {
            key: "a/i-000007".to_owned(),
            value,
            version: Revision(1),
        }
    }

    #[test]
    fn records_are_read_as_written_and_take_no_more_room_than_reckoned() {
        let entries: BTreeMap<Attempt, Recorded> = (0..300u64)
            .map(|n| {
                let record = Recorded {
                    machine: MachineId(format!("i-{n:06}")),
                    task: TaskId {
                        job: JobId(n * n * n),
                        index: n as u32 * 300,
                    },
                    attempt: Attempt(n << 40),
                    session: Session(n),
                };
                (record.attempt, record)
            })
            .collect();
        let value = Recorded::value(&entries);
        let size: usize = entries.iter().map(|(key, entry)| entry.size(key)).sum();
        assert!(value.to_string().len() <= size + 32);
        let read = read(&pair(value)).expect("records");
        assert_eq!(read, entries.into_values().collect::<Vec<_>>());
    }

    // Guards against taking records of another version for empty ones, and running their tasks twice.
    #[test]
    fn records_of_the_first_release_are_understood_and_unknown_ones_named() {
        let old = serde_json::json!([["j-000412/3", 16777217, 2]]);
        let read_old = read(&pair(old)).expect("records");
        assert_eq!(read_old[0].machine, "i-000007".into());
        assert_eq!(read_old[0].attempt, Attempt(16_777_217));
        let unknown = [
            serde_json::json!({"v": 3, "on": []}),
            serde_json::json!({"v": 2, "on": [["i-000001"]]}),
            serde_json::json!("?"),
        ];
        for value in unknown {
            assert_eq!(read(&pair(value)), Err(UnknownForm("a/i-000007".into())));
        }
    }
}
