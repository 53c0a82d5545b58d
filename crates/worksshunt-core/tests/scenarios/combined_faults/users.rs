//! Faults that come together with users' requests: slow and unanswered writes, load, bad input.

use serde_json::json;
use worksshunt_core::controller::Event;
use worksshunt_wire::JobId;

use super::{busy, red, settle};
use crate::ready;
use worksshunt_simulation::{job, Cluster, DelayRange, DelayedWrites};

// Guards against answers that come after their sender has timed out, taken for none.
#[test]
fn the_key_value_store_responds_slowly_while_users_cancel_and_query() {
    for slow_ms in [350, 900, 1_400, 1_600] {
        for cancel_ms in [0, 450, 2_000] {
            let moment = format!("{slow_ms} slower, cancelled after {cancel_ms}");
            let mut cluster = busy(5, 40_000);
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
            assert!(cluster.invariants.any_cancelled(), "{moment}");
            assert!(cluster.effects("rapid status query") > 0, "{moment}");
            settle(&mut cluster, &moment);
        }
    }
}

// Guards against a job that is called cancelled and done, with nothing else going on.
#[test]
fn requests_arrive_as_a_jobs_last_task_ends() {
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

// Guards against a write that was abandoned and undoes newer ones of the same controller.
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

// Guards against work that waits for ever beside other work, and links that are taken for dead.
#[test]
fn jobs_exceed_the_capacity_over_slow_links() {
    for slow_ms in [0, 300, 800] {
        let moment = format!("{slow_ms} slower");
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
        settle(&mut cluster, &moment);
    }
}

/// Submits an accepted job's id again with a field missing, with a wrong one, and so that it can never run.
fn send_bad_repetitions(cluster: &mut Cluster, controller: usize, id: u64) {
    let mut lacks = job(id, 3);
    lacks.as_object_mut().expect("an object").remove("Cores");
    let mut wrong = job(id, 3);
    wrong["Piezas"] = json!(-3);
    let mut never = job(id, 3);
    never["Cores"] = json!(64.0);
    for bad in [lacks, wrong, never] {
        cluster.send_submit(controller, &bad);
    }
}

/// Sends bad requests about jobs that nobody has submitted. Returns the expected status of each, and its slot.
fn send_bad_requests(cluster: &mut Cluster, controller: usize) -> [(u16, usize); 5] {
    let mut lacks = job(50, 1);
    lacks.as_object_mut().expect("an object").remove("RamGb");
    let mut never = job(51, 1);
    never["Cuadrilla"] = json!("nobody");
    let bytes = b"{\"Ref\": ".to_vec();
    [
        (400, cluster.send_submit(controller, &lacks)),
        (422, cluster.send_submit(controller, &never)),
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

/// How many requests got the expected status; the others may only have been asked to retry, or not answered.
fn rejected_as_expected(cluster: &Cluster, replies: Vec<(u16, usize)>) -> usize {
    let mut refused = 0;
    for (expected, slot) in replies {
        let Some(reply) = cluster.response(slot) else {
            continue;
        };
        assert!(
            reply.status == expected || reply.status == 503,
            "{} for {expected}: {}",
            reply.status,
            reply.body
        );
        refused += usize::from(reply.status == expected);
    }
    refused
}

// Guards against an accepted job that is rejected because a controller has not read it yet.
#[test]
fn bad_input_is_rejected_under_faults_and_never_affects_an_accepted_job() {
    for seed in 1..=6 {
        let mut cluster = ready();
        cluster.seed(seed);
        cluster.faults.has_rapid_status_queries = true;
        cluster.submit(0, &job(1, 3));
        cluster.submit(1, &red(2, 8));
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
        let mut replies = Vec::new();
        for round in 0..40 {
            let controller = (round + seed as usize) % 3;
            for id in [1, 2] {
                send_bad_repetitions(&mut cluster, controller, id);
            }
            replies.extend(send_bad_requests(&mut cluster, controller));
            cluster.run(230);
        }
        cluster.run(5_000);
        let refused = rejected_as_expected(&cluster, replies);
        assert!(refused > 60, "seed {seed}: {refused}");
        settle(&mut cluster, &format!("seed {seed}"));
        // What is done stays so, whoever cancels it.
        let reply = cluster.cancel(0, 1);
        assert!(
            reply.status == 200 && reply.body.contains("done"),
            "{reply:?}"
        );
    }
}
