//! Combinations of faults with users' requests: slow and unanswered writes, load, invalid input.

use serde_json::json;
use worksshunt_core::controller::Event;
use worksshunt_wire::JobId;

use super::{red_job, settle, with_running_jobs};
use crate::ready;
use worksshunt_simulation::{job, Cluster, DelayRange, DelayedWrites};

// Guards against treating a write as not applied because its response arrives after the timeout.
#[test]
fn the_key_value_store_responds_slowly_while_users_cancel_and_query() {
    for slow_ms in [350, 900, 1_400, 1_600] {
        for cancel_ms in [0, 450, 2_000] {
            let case = format!("{slow_ms} slower, cancelled after {cancel_ms}");
            let mut cluster = with_running_jobs(5, 40_000);
            cluster.faults.has_rapid_status_queries = true;
            cluster.faults.key_value.slow_responses_ms = slow_ms;
            cluster.run(cancel_ms);
            for id in 1..=3 {
                cluster.send_cancel(id as usize % 3, JobId(id));
            }
            cluster.send_submit(1, &job(7, 2));
            cluster.run(9_000);
            cluster.faults.key_value.slow_responses_ms = 0;
            for id in 1..=3 {
                cluster.send_cancel(id as usize % 3, JobId(id));
            }
            cluster.run(32_000);
            assert!(cluster.invariants.any_cancelled(), "{case}");
            assert!(cluster.effects("rapid status query") > 0, "{case}");
            settle(&mut cluster, &case);
        }
    }
}

// Guards against a job that is reported both as cancelled and as done.
#[test]
fn requests_arrive_as_the_last_task_completes() {
    for seed in 1..=10 {
        let mut cluster = ready();
        cluster.seed(seed);
        cluster.task_run_ms = 2_000;
        cluster.faults.cancel_at_completion = 1.0;
        cluster.faults.has_rapid_status_queries = true;
        for id in 1..=12 {
            cluster.send_submit(id as usize % 3, &job(id, 1 + id as u32 % 4));
            cluster.run(17 * seed);
        }
        cluster.run(25_000);
        assert!(cluster.effects("cancel at completion") >= 12, "seed {seed}");
        settle(&mut cluster, &format!("seed {seed}"));
    }
}

// Guards against an abandoned write that is applied late and overwrites newer ones of the same controller.
#[test]
fn unanswered_writes_are_applied_after_newer_ones() {
    for seed in 1..=10 {
        let mut cluster = ready();
        cluster.seed(seed);
        cluster.task_run_ms = 6_000;
        cluster.faults.has_rapid_status_queries = true;
        cluster.faults.cancel_at_completion = 0.3;
        cluster.faults.key_value.delayed_writes = Some(DelayedWrites {
            share: 0.3,
            delay: DelayRange {
                min_ms: 2_000,
                max_ms: 12_000,
            },
            key_prefix: None,
        });
        for id in 1..=15 {
            cluster.send_submit(id as usize % 3, &job(id, 1 + id as u32 % 5));
            if id % 4 == 0 {
                cluster.schedule(200 * seed, move |cluster| {
                    cluster.send_cancel(id as usize % 3, JobId(id));
                });
            }
            cluster.run(400);
        }
        cluster.run(10_000);
        let leader = cluster.leader();
        cluster.restart(leader, 700);
        cluster.run(20_000);
        assert!(cluster.effects("delayed write applied") > 20, "seed {seed}");
        settle(&mut cluster, &format!("seed {seed}"));
        cluster.run(13_000);
        cluster.check();
    }
}

// Guards against starvation of waiting jobs, and against treating slow links as failed.
#[test]
fn jobs_exceed_the_capacity_over_slow_links() {
    for slow_ms in [0, 300, 800] {
        let case = format!("{slow_ms} slower");
        let mut cluster = ready();
        cluster.capacity = 3;
        cluster.task_run_ms = 4_000;
        cluster.link_delay_ms = 60;
        cluster.faults.key_value.slow_responses_ms = slow_ms;
        for id in 1..=24 {
            let mut job = job(id, 6);
            job["Turno"] = json!(["low", "normal", "urgent"][id as usize % 3]);
            cluster.send_submit(id as usize % 3, &job);
            cluster.run(300);
        }
        cluster.send_cancel(1, JobId(3));
        cluster.until("a full fleet", 30_000, |cluster| {
            cluster.running().len() >= 10
        });
        settle(&mut cluster, &case);
    }
}

/// Submits the id of an accepted job again: with a missing field, with an invalid one, and with infeasible resources.
fn send_invalid_resubmissions(cluster: &mut Cluster, controller: usize, id: u64) {
    let mut incomplete = job(id, 3);
    incomplete
        .as_object_mut()
        .expect("an object")
        .remove("Cores");
    let mut invalid = job(id, 3);
    invalid["Piezas"] = json!(-3);
    let mut infeasible = job(id, 3);
    infeasible["Cores"] = json!(64.0);
    for submission in [incomplete, invalid, infeasible] {
        cluster.send_submit(controller, &submission);
    }
}

/// Sends invalid requests about jobs that were never submitted. Returns the expected status and the slot of each.
fn send_invalid_requests(cluster: &mut Cluster, controller: usize) -> [(u16, usize); 5] {
    let mut incomplete = job(50, 1);
    incomplete
        .as_object_mut()
        .expect("an object")
        .remove("RamGb");
    let mut infeasible = job(51, 1);
    infeasible["Cuadrilla"] = json!("nobody");
    let bytes = b"{\"Ref\": ".to_vec();
    [
        (400, cluster.send_submit(controller, &incomplete)),
        (422, cluster.send_submit(controller, &infeasible)),
        (404, cluster.send_status(controller, JobId(60))),
        (404, cluster.send_cancel(controller, JobId(61))),
        (
            400,
            cluster.send(controller, |request_id| Event::Submit {
                request_id,
                body: bytes,
            }),
        ),
    ]
}

/// Returns the number of requests with the expected status. All others must have got status 503 or no response.
fn count_expected_rejections(cluster: &Cluster, requests: Vec<(u16, usize)>) -> usize {
    let mut rejected = 0;
    for (expected, slot) in requests {
        let Some(response) = cluster.response(slot) else {
            continue;
        };
        assert!(
            response.status == expected || response.status == 503,
            "{} for {expected}: {}",
            response.status,
            response.body
        );
        rejected += usize::from(response.status == expected);
    }
    rejected
}

// Guards against rejecting the id of an accepted job because a controller has not read the job yet.
#[test]
fn invalid_requests_under_faults_are_rejected_and_change_no_accepted_job() {
    for seed in 1..=6 {
        let mut cluster = ready();
        cluster.seed(seed);
        cluster.faults.has_rapid_status_queries = true;
        cluster.submit(0, &job(1, 3));
        cluster.submit(1, &red_job(2, 8));
        let leader = cluster.leader();
        cluster.restart(leader, 150 * seed);
        cluster.faults.key_value.delayed_writes = Some(DelayedWrites {
            share: 0.3,
            delay: DelayRange {
                min_ms: 0,
                max_ms: 3_000,
            },
            key_prefix: None,
        });
        let mut requests = Vec::new();
        for round in 0..40 {
            let controller = (round + seed as usize) % 3;
            for id in [1, 2] {
                send_invalid_resubmissions(&mut cluster, controller, id);
            }
            requests.extend(send_invalid_requests(&mut cluster, controller));
            cluster.run(230);
        }
        cluster.run(5_000);
        let rejected = count_expected_rejections(&cluster, requests);
        assert!(rejected > 60, "seed {seed}: {rejected}");
        settle(&mut cluster, &format!("seed {seed}"));
        // A cancellation does not change the state of a job that is done.
        let response = cluster.cancel(0, 1);
        assert!(
            response.status == 200 && response.body.contains("done"),
            "{response:?}"
        );
    }
}
