//! Days on which every trouble that the cluster knows comes at any time, together with any other. All of a day
//! follows from its seed.

use std::ops::Range;

use serde_json::json;
use worksshunt_wire::{JobId, MachineId};

use crate::{job, long_job, Cluster, DayDigest, Failure, LateWrites, SlowLinks, TrafficDigest};

/// Draws for one day.
struct Dice(fastrand::Rng);

impl Dice {
    fn node(&mut self) -> usize {
        self.0.usize(0..3)
    }

    fn ms(&mut self, range: Range<u64>) -> u64 {
        self.0.u64(range)
    }

    fn machine(&mut self, cluster: &Cluster) -> Option<MachineId> {
        let busy = |id: &&MachineId| cluster.busy(id);
        let ids: Vec<&MachineId> = cluster.workers.keys().filter(busy).collect();
        (!ids.is_empty()).then(|| ids[self.0.usize(0..ids.len())].clone())
    }
}

fn submit(cluster: &mut Cluster, dice: &mut Dice, id: u64) {
    let tasks = 1 + dice.0.u32(0..6);
    let mut new = match dice.0.bool() {
        true => job(id, tasks),
        false => long_job(id, tasks),
    };
    match dice.0.u32(0..8) {
        0 => new["Patio"] = json!("b"),
        1 => new["SamePlace"] = json!(true),
        2 => new["Spread"] = json!(true),
        3 => new["Prestados"] = json!(false),
        4 | 5 => new["Cuadrilla"] = json!("red"),
        _ => {}
    }
    new["Turno"] = json!(["low", "normal", "urgent"][dice.0.usize(0..3)]);
    let node = dice.node();
    cluster.send_submit(node, &new);
}

/// How long a trouble lasts: mostly about a lease (16 s) at the most, and now and then beyond the moment, some 26 s
/// after a controller was cut off, at which its successor counts the leases of its machines as over.
fn how_long(dice: &mut Dice) -> u64 {
    match dice.0.u32(0..4) {
        0 => dice.ms(22_000..40_000),
        _ => dice.ms(500..22_000),
    }
}

/// One trouble, or a few of its kind, with its end.
fn faults(cluster: &mut Cluster, dice: &mut Dice) {
    let node = dice.node();
    let for_ms = how_long(dice);
    let machine = dice.machine(cluster);
    match (dice.0.u32(0..27), machine) {
        (0, _) => {
            let leader = cluster.leader();
            cluster.restart(leader, dice.ms(30..7_000));
        }
        (1, _) => {
            cluster.restart(node, dice.ms(30..7_000));
        }
        (2, _) => {
            for node in 0..3 {
                cluster.restart(node, dice.ms(30..20_000));
            }
        }
        (3 | 4, _) => {
            let node = cluster.leader();
            cluster.faults.refused_by_key_value_store.insert(node);
            cluster.schedule(for_ms, move |w| {
                w.faults.refused_by_key_value_store.remove(&node);
            });
            if dice.0.bool() {
                let wait_ms = dice.ms(0..2_500);
                cluster.schedule(wait_ms, |w| w.faults.key_value_store_down = true);
                cluster.schedule(wait_ms + for_ms, |w| w.faults.key_value_store_down = false);
            }
        }
        (5, _) => {
            cluster.faults.key_value_store_down = true;
            cluster.schedule(for_ms, |w| w.faults.key_value_store_down = false);
        }
        (6, _) => {
            let node = cluster.leader();
            cluster.faults.cut_from_key_value_store.insert(node);
            cluster.faults.cut_from_peers.insert(node);
            cluster.schedule(for_ms, move |w| {
                w.faults.cut_from_key_value_store.remove(&node);
                w.faults.cut_from_peers.remove(&node);
            });
        }
        (7, _) => {
            cluster.faults.cut_from_workers.insert(node);
            cluster.schedule(for_ms, move |w| {
                w.faults.cut_from_workers.remove(&node);
            });
        }
        (8, _) => {
            cluster.faults.late_writes = Some(LateWrites {
                share: 0.3,
                after_ms: if dice.0.bool() {
                    (0, 0)
                } else {
                    (2_000, 12_000)
                },
            });
            cluster.schedule(for_ms, |w| w.faults.late_writes = None);
        }
        (9, _) => {
            cluster.faults.key_value_store_slow_ms = dice.ms(100..1_700);
            cluster.schedule(for_ms, |w| w.faults.key_value_store_slow_ms = 0);
        }
        (10, _) => {
            cluster.faults.heartbeat_copies_after_ms =
                vec![dice.ms(100..3_000), dice.ms(3_000..30_000)];
            cluster.schedule(for_ms, |w| w.faults.heartbeat_copies_after_ms.clear());
        }
        (11, _) => cluster.faults.heartbeat_copies_for_next_leader ^= true,
        (12, _) => {
            cluster.faults.hold_commands = true;
            cluster.schedule(for_ms / 3, |w| {
                w.release_commands();
                w.faults.hold_commands = false;
            });
        }
        (13, _) => {
            let zone = ["a", "b"][dice.0.usize(0..2)].to_owned();
            cluster.faults.partitioned_zone = Some((zone, [node].into()));
            cluster.schedule(for_ms, |w| w.faults.partitioned_zone = None);
        }
        (14, _) => {
            cluster.faults.hold_writes.insert(node);
            cluster.schedule(for_ms / 4, move |w| {
                w.faults.hold_writes.remove(&node);
                w.release_writes();
            });
        }
        (20, _) => cluster.pause(node, for_ms),
        (22, _) => {
            let (share, most_ms) = (dice.0.f64(), dice.ms(20..3_900));
            cluster.faults.slow_links = Some(SlowLinks { share, most_ms });
            cluster.schedule(for_ms, |w| w.faults.slow_links = None);
        }
        (23, _) => hold_workers(cluster, node, dice.ms(200..6_000)),
        (24, _) => flapping(cluster, dice, for_ms),
        (25 | 26, Some(id)) => overtaken_then_cut_off(cluster, dice, id),
        (21, Some(id)) => {
            cluster.workers.remove(&id);
        }
        (15, Some(id)) => cluster.hang(&id, for_ms),
        (16, Some(id)) => {
            cluster.faults.unreachable_machines.insert(id.clone());
            cluster.schedule(for_ms, move |w| {
                w.faults.unreachable_machines.remove(&id);
            });
        }
        (17, Some(id)) => {
            cluster.faults.silent_machines.insert(id.clone());
            cluster.schedule(for_ms, move |w| {
                w.faults.silent_machines.remove(&id);
            });
        }
        (18, Some(id)) => {
            cluster.faults.hold_heartbeats.insert(id.clone());
            cluster.schedule(for_ms, move |w| {
                w.faults.hold_heartbeats.remove(&id);
                w.release_heartbeats(&[0, 1, 2]);
            });
        }
        (_, Some(id)) => {
            // Users call off what runs there, and it hangs.
            let jobs = cluster.jobs_on(&id);
            for job in jobs {
                let node = dice.node();
                cluster.send_cancel(node, job);
            }
            cluster.hang(&id, for_ms);
        }
        _ => {}
    }
}

/// What passes between a controller and machines is held back for so long.
fn hold_workers(cluster: &mut Cluster, node: usize, ms: u64) {
    let until = cluster.now + ms;
    cluster.faults.held_until.insert(node, until);
    cluster.schedule(ms, move |w| {
        if w.faults.held_until.get(&node) == Some(&until) {
            w.faults.held_until.remove(&node);
        }
    });
}

/// What passes between all controllers and machines is held back a few times in a row, and then nothing passes
/// at all.
fn flapping(cluster: &mut Cluster, dice: &mut Dice, for_ms: u64) {
    let mut wait_ms = 0;
    for _ in 0..dice.0.usize(1..4) {
        let held_ms = dice.ms(200..5_000);
        cluster.schedule(wait_ms, move |w| {
            (0..3).for_each(|node| hold_workers(w, node, held_ms));
        });
        wait_ms += held_ms + dice.ms(20..1_500);
    }
    let nodes = [0, 1, 2];
    cluster.schedule(wait_ms, move |w| w.faults.cut_from_workers.extend(nodes));
    cluster.schedule(wait_ms + for_ms, move |w| {
        for node in nodes {
            w.faults.cut_from_workers.remove(&node);
        }
    });
}

/// Reports of a machine take long, while orders to it do not; some moments later nothing passes between it and
/// controllers for longer than a lease.
fn overtaken_then_cut_off(cluster: &mut Cluster, dice: &mut Dice, id: MachineId) {
    let slow = (id.clone(), dice.ms(300..3_900));
    cluster.faults.slow_heartbeats_ms.extend([slow]);
    for job in cluster.jobs_on(&id).into_iter().take(2) {
        let node = dice.node();
        let ms = dice.ms(0..5_000);
        cluster.schedule(ms, move |w| {
            w.send_cancel(node, job);
        });
    }
    let (cut, heals) = (id.clone(), id.clone());
    let slow_for_ms = dice.ms(2_000..8_000);
    cluster.schedule(slow_for_ms, move |w| {
        w.faults.slow_heartbeats_ms.remove(&cut);
        w.faults.silent_machines.insert(cut.clone());
        w.faults.unreachable_machines.insert(cut);
    });
    cluster.schedule(slow_for_ms + dice.ms(15_000..22_000), move |w| {
        w.faults.silent_machines.remove(&heals);
        w.faults.unreachable_machines.remove(&heals);
    });
}

/// The digest of the day of a seed.
pub fn digest(seed: u64) -> DayDigest {
    let (mut cluster, verdict) = play(seed, Some(TrafficDigest::default()));
    let digest = cluster.digest.take().unwrap_or_default();
    digest.finish(&verdict)
}

/// Plays the day of a seed to its end and gives the cluster, with the verdict on the day.
pub fn play(seed: u64, digest: Option<TrafficDigest>) -> (Cluster, Result<(), Failure>) {
    let mut dice = Dice(fastrand::Rng::with_seed(seed));
    let mut cluster = Cluster::new();
    cluster.digest = digest;
    cluster.seed(seed);
    cluster.nominal_boot_s = [5.0, 50.0][dice.0.usize(0..2)];
    cluster.boot_ms = dice.ms(1_000..6_000);
    cluster.list_lag_ms = dice.ms(0..6_000);
    cluster.task_run_ms = dice.ms(2_000..25_000);
    cluster.jitter_ms = [0, 3, 60][dice.0.usize(0..3)];
    cluster.run_spread_ms = dice.ms(0..1_500);
    cluster.capacity = dice.0.usize(4..14);
    cluster.faults.rapid_status_queries = dice.0.bool();
    cluster.faults.cancel_at_completion = 0.2;
    cluster.run(3_000);
    let ends = cluster.now + dice.ms(40_000..120_000);
    let mut id = 0;
    while cluster.now < ends {
        for _ in 0..dice.0.usize(0..3) {
            id += 1;
            submit(&mut cluster, &mut dice, id);
        }
        if id > 0 {
            let one = JobId(dice.0.u64(1..=id));
            let node = dice.node();
            match dice.0.u32(0..4) {
                0 => cluster.send_cancel(node, one),
                _ => cluster.send_status(node, one),
            };
        }
        if dice.0.u32(0..3) == 0 {
            faults(&mut cluster, &mut dice);
        }
        let ms = dice.ms(50..1_800);
        cluster.run(ms);
    }
    // What began lately ends by itself.
    cluster.run(62_000);
    let verdict = cluster.settle();
    (cluster, verdict)
}
