//! The cases of the second review. `standins-2 CASE with|without FOLDER TEMPORARY PROGRAM...` runs one, with or without
//! its disruption: it writes `record.txt` into FOLDER, settings and logs into TEMPORARY, and starts the controllers with
//! the command PROGRAM and a settings file. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

mod http;
mod json;
mod large_job;
mod long_list;
mod many_tasks;
mod no_estimate;
mod platform;
mod record;
mod same_place;
mod store;
mod users;
mod world;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// A run that takes longer is given up; the script then ends the controllers.
const LONGEST_RUN: Duration = Duration::from_secs(116);

/// What every case is given.
pub struct Setup<'a> {
    pub program: &'a [String],
    pub temporary: &'a Path,
    pub record: Arc<Record>,
    pub has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let disruption = arguments.get(2).map(String::as_str);
    if arguments.len() < 6 || !matches!(disruption, Some("with" | "without")) {
        eprintln!("usage: standins-2 CASE with|without FOLDER TEMPORARY PROGRAM...");
        exit(NOT_RUN);
    }
    let Ok(record) = Record::create(&Path::new(&arguments[3]).join("record.txt")) else {
        eprintln!("cannot write record.txt");
        exit(NOT_RUN);
    };
    let record = Arc::new(record);
    let setup = Setup {
        program: &arguments[5..],
        temporary: Path::new(&arguments[4]),
        record: Arc::clone(&record),
        has_trouble: disruption == Some("with"),
    };
    record.say(match setup.has_trouble {
        true => "with the disruption",
        false => "without the disruption",
    });
    let watched = Arc::clone(&record);
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST_RUN);
        watched.say("the run takes too long");
        watched.flush();
        exit(NOT_RUN);
    });
    let code = match arguments[1].as_str() {
        "long-list" => long_list::run(&setup),
        "large-job" => large_job::run(&setup),
        "no-estimate" => no_estimate::run(&setup),
        "same-place" => same_place::run(&setup),
        "many-tasks" => many_tasks::run(&setup),
        other => {
            eprintln!("no case {other}");
            NOT_RUN
        }
    };
    let verdict = [
        "the rule held",
        "the rule was broken",
        "the case could not run",
    ];
    record.say(verdict[code as usize]);
    record.flush();
    exit(code);
}
