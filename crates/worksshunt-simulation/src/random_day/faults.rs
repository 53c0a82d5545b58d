//! The faults of random days: which one comes, and when it ends.
//!
//! The order in which random numbers are drawn decides what a seed stands for: the digests on file hold only as long
//! as it stays.

use std::collections::BTreeSet;

use worksshunt_wire::MachineId;

use super::DayRng;
use crate::{Cluster, DelayRange, Faults, LateWrites, SlowLinks, ZonePartition, CONTROLLERS};

/// How many numbers of faults there are; some faults have two.
const FAULT_NUMBERS: u32 = 27;

/// What was drawn for a fault before its number.
struct Draw {
    controller: usize,
    duration_ms: u64,
    /// A machine with tasks on it, if there is one.
    machine: Option<MachineId>,
}

/// How long a fault lasts: mostly about a lease (16 s) at the most, and now and then beyond the moment, some 26 s
/// after a controller was cut off, at which its successor counts the leases of its machines as expired.
fn duration_ms(rng: &mut DayRng) -> u64 {
    match rng.0.u32(0..4) {
        0 => rng.ms(22_000..40_000),
        _ => rng.ms(500..22_000),
    }
}

/// Injects one fault, or a few of its kind, and schedules its end.
pub(super) fn inject(cluster: &mut Cluster, rng: &mut DayRng) {
    let draw = Draw {
        controller: rng.controller(),
        duration_ms: duration_ms(rng),
        machine: rng.busy_machine(cluster),
    };
    match rng.0.u32(0..FAULT_NUMBERS) {
        number @ (0..=2 | 6 | 7 | 20) => controller_fault(cluster, rng, &draw, number),
        number @ (3..=5 | 8 | 9 | 14) => key_value_fault(cluster, rng, &draw, number),
        number @ (10..=13 | 22..=24) => network_fault(cluster, rng, &draw, number),
        number => {
            if let Some(machine) = draw.machine {
                machine_fault(cluster, rng, machine, draw.duration_ms, number);
            }
        }
    }
}

fn controller_fault(cluster: &mut Cluster, rng: &mut DayRng, draw: &Draw, number: u32) {
    match number {
        0 => {
            let leader = cluster.leader();
            cluster.restart(leader, rng.ms(30..7_000));
        }
        1 => cluster.restart(draw.controller, rng.ms(30..7_000)),
        2 => {
            for controller in 0..CONTROLLERS {
                cluster.restart(controller, rng.ms(30..20_000));
            }
        }
        6 => cut_off_leader(cluster, draw.duration_ms),
        7 => {
            let controller = draw.controller;
            cluster.faults.cut_from_workers.insert(controller);
            end_after(cluster, draw.duration_ms, move |faults| {
                faults.cut_from_workers.remove(&controller);
            });
        }
        _ => cluster.pause(draw.controller, draw.duration_ms),
    }
}

fn key_value_fault(cluster: &mut Cluster, rng: &mut DayRng, draw: &Draw, number: u32) {
    match number {
        3 | 4 => refuse_leader(cluster, rng, draw.duration_ms),
        5 => {
            cluster.faults.key_value.down = true;
            end_after(cluster, draw.duration_ms, |faults| {
                faults.key_value.down = false;
            });
        }
        8 => {
            let delay = match rng.0.bool() {
                true => DelayRange::NONE,
                false => DelayRange {
                    min_ms: 2_000,
                    max_ms: 12_000,
                },
            };
            let share = 0.3;
            cluster.faults.key_value.late_writes = Some(LateWrites {
                share,
                delay,
                key_prefix: None,
            });
            end_after(cluster, draw.duration_ms, |faults| {
                faults.key_value.late_writes = None;
            });
        }
        9 => {
            cluster.faults.key_value.slow_responses_ms = rng.ms(100..1_700);
            end_after(cluster, draw.duration_ms, |faults| {
                faults.key_value.slow_responses_ms = 0;
            });
        }
        _ => {
            let controller = draw.controller;
            cluster.faults.key_value.hold_writes.insert(controller);
            cluster.schedule(draw.duration_ms / 4, move |cluster| {
                cluster.faults.key_value.hold_writes.remove(&controller);
                cluster.release_writes();
            });
        }
    }
}

fn network_fault(cluster: &mut Cluster, rng: &mut DayRng, draw: &Draw, number: u32) {
    match number {
        10 => {
            cluster.faults.heartbeats.copies_after_ms =
                vec![rng.ms(100..3_000), rng.ms(3_000..30_000)];
            end_after(cluster, draw.duration_ms, |faults| {
                faults.heartbeats.copies_after_ms.clear();
            });
        }
        11 => cluster.faults.heartbeats.copies_for_next_leader ^= true,
        12 => {
            cluster.faults.hold_commands = true;
            cluster.schedule(draw.duration_ms / 3, |cluster| {
                cluster.release_commands();
                cluster.faults.hold_commands = false;
            });
        }
        13 => {
            cluster.faults.partitioned_zone = Some(ZonePartition {
                zone: rng.one_of(&["a", "b"]).to_owned(),
                controllers: BTreeSet::from([draw.controller]),
            });
            end_after(cluster, draw.duration_ms, |faults| {
                faults.partitioned_zone = None;
            });
        }
        22 => {
            let (share, max_extra_ms) = (rng.0.f64(), rng.ms(20..3_900));
            cluster.faults.slow_links = Some(SlowLinks {
                share,
                max_extra_ms,
            });
            end_after(cluster, draw.duration_ms, |faults| faults.slow_links = None);
        }
        23 => hold_messages(cluster, draw.controller, rng.ms(200..6_000)),
        _ => flapping_network(cluster, rng, draw.duration_ms),
    }
}

fn machine_fault(
    cluster: &mut Cluster,
    rng: &mut DayRng,
    id: MachineId,
    duration_ms: u64,
    number: u32,
) {
    match number {
        15 => cluster.hang(&id, duration_ms),
        16 => {
            cluster.faults.unreachable_machines.insert(id.clone());
            end_after(cluster, duration_ms, move |faults| {
                faults.unreachable_machines.remove(&id);
            });
        }
        17 => {
            cluster.faults.heartbeats.lost_from.insert(id.clone());
            end_after(cluster, duration_ms, move |faults| {
                faults.heartbeats.lost_from.remove(&id);
            });
        }
        18 => {
            cluster.faults.heartbeats.held_from.insert(id.clone());
            cluster.schedule(duration_ms, move |cluster| {
                cluster.faults.heartbeats.held_from.remove(&id);
                cluster.release_heartbeats(&[0, 1, 2]);
            });
        }
        21 => {
            cluster.workers.remove(&id);
        }
        25 | 26 => slow_heartbeats_then_cut_off(cluster, rng, id),
        _ => cancel_jobs_and_hang(cluster, rng, &id, duration_ms),
    }
}

/// Ends a fault after so long.
fn end_after(cluster: &mut Cluster, ms: u64, end: impl FnOnce(&mut Faults) + 'static) {
    cluster.schedule(ms, move |cluster| end(&mut cluster.faults));
}

/// The leader reaches neither the key-value store nor its peers.
fn cut_off_leader(cluster: &mut Cluster, duration_ms: u64) {
    let leader = cluster.leader();
    cluster.faults.key_value.unreachable_from.insert(leader);
    cluster.faults.cut_from_peers.insert(leader);
    end_after(cluster, duration_ms, move |faults| {
        faults.key_value.unreachable_from.remove(&leader);
        faults.cut_from_peers.remove(&leader);
    });
}

/// The key-value store refuses the leader, and in half of the cases is down for all soon after.
fn refuse_leader(cluster: &mut Cluster, rng: &mut DayRng, duration_ms: u64) {
    let leader = cluster.leader();
    cluster.faults.key_value.refuses.insert(leader);
    end_after(cluster, duration_ms, move |faults| {
        faults.key_value.refuses.remove(&leader);
    });
    if rng.0.bool() {
        let wait_ms = rng.ms(0..2_500);
        let set = |is_down| move |cluster: &mut Cluster| cluster.faults.key_value.down = is_down;
        cluster.schedule(wait_ms, set(true));
        cluster.schedule(wait_ms + duration_ms, set(false));
    }
}

/// Messages between a controller and machines are held back for so long.
fn hold_messages(cluster: &mut Cluster, controller: usize, ms: u64) {
    let until = cluster.now + ms;
    cluster.faults.held_until.insert(controller, until);
    end_after(cluster, ms, move |faults| {
        if faults.held_until.get(&controller) == Some(&until) {
            faults.held_until.remove(&controller);
        }
    });
}

/// Messages between all controllers and machines are held back a few times in a row, and then all are cut off from
/// each other.
fn flapping_network(cluster: &mut Cluster, rng: &mut DayRng, duration_ms: u64) {
    let mut wait_ms = 0;
    for _ in 0..rng.0.usize(1..4) {
        let held_ms = rng.ms(200..5_000);
        cluster.schedule(wait_ms, move |cluster| {
            for controller in 0..CONTROLLERS {
                hold_messages(cluster, controller, held_ms);
            }
        });
        wait_ms += held_ms + rng.ms(20..1_500);
    }
    cluster.schedule(wait_ms, move |cluster| {
        cluster.faults.cut_from_workers.extend(0..CONTROLLERS);
    });
    end_after(cluster, wait_ms + duration_ms, move |faults| {
        for controller in 0..CONTROLLERS {
            faults.cut_from_workers.remove(&controller);
        }
    });
}

/// A machine's heartbeats take long while commands to it do not, and its jobs are cancelled; some moments later the
/// machine and all controllers are cut off from each other for longer than a lease.
fn slow_heartbeats_then_cut_off(cluster: &mut Cluster, rng: &mut DayRng, id: MachineId) {
    let slow_ms = rng.ms(300..3_900);
    cluster
        .faults
        .heartbeats
        .slow_ms
        .insert(id.clone(), slow_ms);
    for job in cluster.jobs_on(&id).into_iter().take(2) {
        let controller = rng.controller();
        let ms = rng.ms(0..5_000);
        cluster.schedule(ms, move |cluster| {
            cluster.send_cancel(controller, job);
        });
    }
    let cut_off = id.clone();
    let slow_for_ms = rng.ms(2_000..8_000);
    end_after(cluster, slow_for_ms, move |faults| {
        faults.heartbeats.slow_ms.remove(&cut_off);
        faults.heartbeats.lost_from.insert(cut_off.clone());
        faults.unreachable_machines.insert(cut_off);
    });
    let ends_after_ms = slow_for_ms + rng.ms(15_000..22_000);
    end_after(cluster, ends_after_ms, move |faults| {
        faults.heartbeats.lost_from.remove(&id);
        faults.unreachable_machines.remove(&id);
    });
}

/// Users cancel the jobs that have tasks on a machine, and it hangs.
fn cancel_jobs_and_hang(cluster: &mut Cluster, rng: &mut DayRng, id: &MachineId, duration_ms: u64) {
    for job in cluster.jobs_on(id) {
        let controller = rng.controller();
        cluster.send_cancel(controller, job);
    }
    cluster.hang(id, duration_ms);
}
