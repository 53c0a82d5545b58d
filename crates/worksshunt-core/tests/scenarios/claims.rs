//! Writes shared by claims on machines and final states of jobs: a late copy of a claim's write, which restores the
//! claim's key, must not confirm a final state.

use std::ops::RangeInclusive;

use serde_json::{json, Value};
use worksshunt_core::controller::Event;

use crate::ready;
use worksshunt_simulation::{job, Cluster, DelayRange, DelayedWrites};

/// Machines of the cluster, with four CPUs each.
const MACHINE_COUNT: usize = 2;
/// Tasks of one CPU that fill the machines.
const FLEET_TASK_COUNT: usize = 8;

/// Ids of the jobs with one narrow task.
const SMALL_JOB_IDS: RangeInclusive<u64> = 101..=700;
/// Ids of the jobs with one wide task.
const WIDE_JOB_IDS: RangeInclusive<u64> = 1..=3;
/// Delay of the copies of writes.
const COPY_DELAY: DelayRange = DelayRange {
    min_ms: 12_000,
    max_ms: 12_000,
};

/// Returns a job with one task that needs a whole machine.
fn wide_job(id: u64) -> Value {
    let mut job = job(id, 1);
    job["Cores"] = json!(4.0);
    job["CalculoS"] = json!(3.0);
    job
}

/// Returns a cluster filled by jobs of one narrow task each, so that jobs complete all the time.
fn full_of_small_jobs() -> Cluster {
    let mut cluster = ready();
    cluster.capacity = MACHINE_COUNT;
    cluster.task_run_ms = 4_000;
    cluster.run_spread_ms = 300;
    cluster.faults.has_rapid_status_queries = true;
    for id in SMALL_JOB_IDS {
        cluster.send_submit(id as usize % 3, &job(id, 1));
    }
    cluster.until("a full fleet", 40_000, |cluster| {
        cluster.running().len() == FLEET_TASK_COUNT
    });
    cluster
}

/// Runs a wide job to its end on a claimed machine. The first copy of the claim's write is applied after
/// [`COPY_DELAY`], when the claim has been released.
fn claim_with_a_late_copy(cluster: &mut Cluster, id: u64) {
    let applied_before = cluster.effects("delayed write applied");
    let delayed_before = cluster.effects("write delayed");
    cluster.faults.key_value.delayed_writes = Some(DelayedWrites {
        share: 1.0,
        delay: COPY_DELAY,
        key_prefix: Some("k/"),
    });
    let controller = cluster.leader();
    cluster.submit(controller, &wide_job(id));
    cluster.until("the claim's write", 60_000, |cluster| {
        cluster.effects("write delayed") > delayed_before
    });
    cluster.faults.key_value.delayed_writes = None;
    cluster.until("the wide task", 300_000, |cluster| cluster.all_done(id, 1));
    cluster.until("the late copy", 20_000, |cluster| {
        cluster.effects("delayed write applied") > applied_before
    });
}

/// Runs a wide job to its end on a claimed machine while many responses to writes of final states are lost, so that
/// claims and final states share a pending write.
fn claim_with_lost_final_state_responses(cluster: &mut Cluster, id: u64) {
    cluster.faults.key_value.delayed_writes = Some(DelayedWrites {
        share: 0.4,
        delay: DelayRange::NONE,
        key_prefix: Some("f/"),
    });
    let controller = cluster.leader();
    cluster.submit(controller, &wide_job(id));
    cluster.until("the wide task", 300_000, |cluster| cluster.all_done(id, 1));
    cluster.faults.key_value.delayed_writes = None;
}

// Guards against a job that is reported done although its final state was never written.
#[test]
fn a_claim_restored_by_a_late_copy_confirms_no_final_state() {
    let mut cluster = full_of_small_jobs();
    for id in WIDE_JOB_IDS {
        claim_with_a_late_copy(&mut cluster, id);
        claim_with_lost_final_state_responses(&mut cluster, id + WIDE_JOB_IDS.end());
    }
    cluster.check();
    cluster.until("the final states of all jobs", 300_000, |cluster| {
        cluster.keys("j/").is_empty()
    });
    cluster.check();
}

/// Returns the value of a counter or gauge in a controller's metrics; 0 if it is not listed.
pub fn metric(cluster: &mut Cluster, controller: usize, name: &str) -> u64 {
    let response = cluster.send_and_wait(controller, Event::Metrics);
    assert_eq!(response.status, 200);
    let line = response.body.lines().find_map(|line| {
        let value = line.strip_prefix(name)?;
        value.trim().parse().ok()
    });
    line.unwrap_or(0)
}

// Guards against metrics that do not show by which evidence claim records and final states were resolved.
#[test]
fn metrics_count_claim_records_and_final_states_by_evidence() {
    let mut cluster = full_of_small_jobs();
    claim_with_a_late_copy(&mut cluster, 1);
    let leader = cluster.leader();
    let claim_records_metric =
        |evidence: &str| format!("worksshunt_claim_records_total{{evidence=\"{evidence}\"}}");
    let committed = metric(&mut cluster, leader, &claim_records_metric("Committed"));
    assert!(committed > 0);
    assert_eq!(
        metric(&mut cluster, leader, &claim_records_metric("Deleted")),
        committed
    );
    let final_states_metric = "worksshunt_final_states_total{evidence=\"Committed\"}";
    let final_state_count = cluster.keys("f/").len() as u64;
    assert_eq!(
        metric(&mut cluster, leader, final_states_metric),
        final_state_count
    );
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

// Guards against a claim that keeps a machine's room from other jobs while its own job waits for a task to end there.
#[test]
fn a_claimed_machine_with_room_keeps_no_other_job_waiting() {
    let mut cluster = ready();
    cluster.capacity = 1;
    cluster.task_run_ms = 3_600_000;
    cluster.submit(0, &job(1, 2));
    cluster.until("a machine with room", 60_000, |cluster| {
        cluster.running().len() == 2
    });
    cluster.submit(0, &wide_job(2));
    cluster.run(20_000);
    cluster.task_run_ms = 5_000;
    cluster.submit(0, &job(3, 1));
    cluster.until("the other job", 90_000, |cluster| cluster.all_done(3, 1));
    cluster.check();
}
