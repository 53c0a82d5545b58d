//! Runs one case: `worksshunt-review-standins CASE ROOT FOLDER RECORD`. Exit code 1: the rule was broken, 0: it held, 2:
//! the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod cloud;
mod cluster;
mod http;
mod jobs;
mod observer;
mod record;
mod search;
mod state;
mod waiting;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use cluster::Cluster;
use record::Record;
use waiting::Verdict;

/// A run ends after this time at the latest.
const RUN_LIMIT: Duration = Duration::from_secs(117);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, folder, record] = arguments.as_slice() else {
        eprintln!("arguments: CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let Some((plan, scenario)) = cases::find(name) else {
        eprintln!("no case {name}");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(Path::new(record)));
    record.line(format!("case {name}, trouble {is_troubled}"));
    let cluster = Cluster::start(
        Path::new(root),
        Path::new(folder),
        Arc::clone(&record),
        &plan,
    );
    cluster.watch(RUN_LIMIT);
    let verdict = cluster
        .wait_until_ready()
        .then(|| scenario(&cluster, is_troubled))
        .flatten();
    drop(cluster);
    let (text, code) = match verdict {
        Some(Verdict::Held) => ("the rule held", 0),
        Some(Verdict::Broken) => ("the rule was broken", 1),
        None => ("the case could not run", 2),
    };
    record.line(text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
