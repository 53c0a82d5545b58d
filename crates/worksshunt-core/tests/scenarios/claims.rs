//! Claims on machines and the ends of jobs, which share writes, when transactions are carried out late.
//!
//! The incident of 2 December 2026 (`docs/incidents/inc-2026-12-02-went-back.md`):
//!
//! - Seen: the leader answered `done` for a job 0.1 s after its last task had completed, and went on doing so. The
//!   other two controllers answered `running` and then `queued` for as long as the epoch lasted.
//! - How it came about: the leader's transactions were carried out up to 8 s late. A copy of a claim's write arrived
//!   after the claim had been released and brought its key back. The next claim on that machine shared a write with
//!   the end of a job; the key-value store refused the write, because the claim's key existed.
//! - Cause: the leader read a conflict on any one key as proof that an earlier copy of the whole write had been
//!   applied, so it took the job's end for durable. The key of a claim was put again after it had been deleted, so
//!   its conflict proves nothing about the write.
//! - Proof: this scenario fails with the rule as it was, and the refused write in it was sent only once.

use std::ops::RangeInclusive;

use serde_json::{json, Value};
use worksshunt_core::controller::Event;

use crate::ready;
use worksshunt_simulation::{job, Cluster, DelayRange, DelayedWrites};

/// Machines of the cluster, each of four processors.
const MACHINES: usize = 2;
/// Tasks of one processor that fill them.
const FULL: usize = 8;

/// Jobs of one narrow task.
const SMALL_JOBS: RangeInclusive<u64> = 101..=700;
/// Jobs of one wide task.
const WIDE_JOBS: RangeInclusive<u64> = 1..=3;
/// How late the copies arrive.
const LATE: DelayRange = DelayRange {
    min_ms: 12_000,
    max_ms: 12_000,
};

/// A job with a task that needs a whole machine.
fn wide(id: u64) -> Value {
    let mut wide = job(id, 1);
    wide["Cores"] = json!(4.0);
    wide["CalculoS"] = json!(3.0);
    wide
}

/// A cluster whose machines are full of narrow tasks, each the only one of its job, so that jobs end all the time.
fn full_of_small_jobs() -> Cluster {
    let mut cluster = ready();
    cluster.capacity = MACHINES;
    cluster.task_run_ms = 4_000;
    cluster.run_spread_ms = 300;
    cluster.faults.has_rapid_status_queries = true;
    for id in SMALL_JOBS {
        cluster.send_submit(id as usize % 3, &job(id, 1));
    }
    cluster.until("a full fleet", 40_000, |cluster| {
        cluster.running().len() == FULL
    });
    cluster
}

/// The wide job of that number gets a machine by a claim and is done. The first copy of the claim's write is carried out
/// only after [`LATE`], when the claim has been released.
fn claim_with_a_late_copy(cluster: &mut Cluster, id: u64) {
    let arrived = cluster.effects("delayed write applied");
    let put_off = cluster.effects("write delayed");
    cluster.faults.key_value.delayed_writes = Some(DelayedWrites {
        share: 1.0,
        delay: LATE,
        key_prefix: Some("k/"),
    });
    let controller = cluster.leader();
    cluster.submit(controller, &wide(id));
    cluster.until("the claim's write", 60_000, |cluster| {
        cluster.effects("write delayed") > put_off
    });
    cluster.faults.key_value.delayed_writes = None;
    cluster.until("the wide task", 300_000, |cluster| cluster.all_done(id, 1));
    cluster.until("the late copy", 20_000, |cluster| {
        cluster.effects("delayed write applied") > arrived
    });
}

/// The wide job of that number gets a machine by a claim and is done, while most answers to writes of jobs' ends are lost,
/// so that claims and ends wait for the same write.
fn claim_beside_ends(cluster: &mut Cluster, id: u64) {
    cluster.faults.key_value.delayed_writes = Some(DelayedWrites {
        share: 0.4,
        delay: DelayRange::NONE,
        key_prefix: Some("f/"),
    });
    let controller = cluster.leader();
    cluster.submit(controller, &wide(id));
    cluster.until("the wide task", 300_000, |cluster| cluster.all_done(id, 1));
    cluster.faults.key_value.delayed_writes = None;
}

// Guards against a job that is called done although its end was never written.
#[test]
fn a_claim_that_a_late_copy_brings_back_ends_no_job() {
    let mut cluster = full_of_small_jobs();
    for id in WIDE_JOBS {
        claim_with_a_late_copy(&mut cluster, id);
        claim_beside_ends(&mut cluster, id + WIDE_JOBS.end());
    }
    cluster.check();
    cluster.until("the ends of all jobs", 300_000, |cluster| {
        cluster.keys("j/").is_empty()
    });
    cluster.check();
}

/// The value of a counter or gauge in a controller's metrics; 0 where it is not listed.
fn metric(cluster: &mut Cluster, controller: usize, name: &str) -> u64 {
    let response = cluster.send_and_wait(controller, Event::Metrics);
    assert_eq!(response.status, 200);
    let line = response.body.lines().find_map(|line| {
        let value = line.strip_prefix(name)?;
        value.trim().parse().ok()
    });
    line.unwrap_or(0)
}

// Guards against conclusions that operators cannot see: how often what was concluded from what.
#[test]
fn the_metrics_tell_what_claims_and_final_states_were_concluded_from() {
    let mut cluster = full_of_small_jobs();
    claim_with_a_late_copy(&mut cluster, 1);
    let leader = cluster.leader();
    let claims =
        |evidence: &str| format!("worksshunt_claim_records_total{{evidence=\"{evidence}\"}}");
    let committed = metric(&mut cluster, leader, &claims("Committed"));
    assert!(committed > 0);
    assert_eq!(metric(&mut cluster, leader, &claims("Deleted")), committed);
    let done = "worksshunt_final_states_total{evidence=\"Committed\"}";
    let ended = cluster.keys("f/").len() as u64;
    assert_eq!(metric(&mut cluster, leader, done), ended);
    assert_eq!(metric(&mut cluster, leader, "worksshunt_is_leader"), 1);
    let epoch = cluster.epoch();
    for controller in 0..3 {
        let token = metric(&mut cluster, controller, "worksshunt_fencing_token");
        assert_eq!(token, epoch);
    }
    assert_eq!(
        metric(&mut cluster, leader, "worksshunt_reconciled_jobs_total"),
        0
    );
}
