//! Random faults and their durations.
//!
//! The order in which random numbers are drawn determines what a seed means. Changing it invalidates the stored digests
//! and all known seeds.

use std::collections::BTreeSet;

use worksshunt_wire::MachineId;

use super::RunRng;
use crate::{
    Cluster, DelayRange, DelayedWrites, Faults, SlowLinks, ZonePartition, CONTROLLER_COUNT,
};

/// Faults are drawn as numbers below this; a fault with several numbers is more likely.
const FAULT_NUMBER_COUNT: u32 = 27;

/// Parameters that are drawn for every fault, before its number.
struct FaultParameters {
    controller: usize,
    duration_ms: u64,
    /// A random machine with running tasks, if there is one.
    machine: Option<MachineId>,
}

/// Draws a fault's duration, ms. Three of four are at most a little longer than a worker's lease (16 s); the others may
/// exceed the time, about 26 s, after which a successor treats the leases of a cut-off controller's workers as expired.
fn duration_ms(rng: &mut RunRng) -> u64 {
    match rng.0.u32(0..4) {
        0 => rng.ms(22_000..40_000),
        _ => rng.ms(500..22_000),
    }
}

/// Injects a random fault and schedules its end.
pub(super) fn inject(cluster: &mut Cluster, rng: &mut RunRng) {
    let parameters = FaultParameters {
        controller: rng.controller(),
        duration_ms: duration_ms(rng),
        machine: rng.busy_machine(cluster),
    };
    match rng.0.u32(0..FAULT_NUMBER_COUNT) {
        number @ (0..=2 | 6 | 7 | 20) => controller_fault(cluster, rng, &parameters, number),
        number @ (3..=5 | 8 | 9 | 14) => key_value_fault(cluster, rng, &parameters, number),
        number @ (10..=13 | 22..=24) => network_fault(cluster, rng, &parameters, number),
        number => {
            if let Some(machine) = parameters.machine {
                machine_fault(cluster, rng, machine, parameters.duration_ms, number);
            }
        }
    }
}

fn controller_fault(
    cluster: &mut Cluster,
    rng: &mut RunRng,
    parameters: &FaultParameters,
    number: u32,
) {
    match number {
        0 => {
            let leader = cluster.leader();
            cluster.restart(leader, rng.ms(30..7_000));
        }
        1 => cluster.restart(parameters.controller, rng.ms(30..7_000)),
        2 => {
            for controller in 0..CONTROLLER_COUNT {
                cluster.restart(controller, rng.ms(30..20_000));
            }
        }
        6 => cut_off_leader(cluster, parameters.duration_ms),
        7 => {
            let controller = parameters.controller;
            cluster.faults.cut_from_workers.insert(controller);
            end_after(cluster, parameters.duration_ms, move |faults| {
                faults.cut_from_workers.remove(&controller);
            });
        }
        _ => cluster.pause(parameters.controller, parameters.duration_ms),
    }
}

fn key_value_fault(
    cluster: &mut Cluster,
    rng: &mut RunRng,
    parameters: &FaultParameters,
    number: u32,
) {
    match number {
        3 | 4 => refuse_leader(cluster, rng, parameters.duration_ms),
        5 => {
            cluster.faults.key_value.is_down = true;
            end_after(cluster, parameters.duration_ms, |faults| {
                faults.key_value.is_down = false;
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
            cluster.faults.key_value.delayed_writes = Some(DelayedWrites {
                share,
                delay,
                key_prefix: None,
            });
            end_after(cluster, parameters.duration_ms, |faults| {
                faults.key_value.delayed_writes = None;
            });
        }
        9 => {
            cluster.faults.key_value.slow_responses_ms = rng.ms(100..1_700);
            end_after(cluster, parameters.duration_ms, |faults| {
                faults.key_value.slow_responses_ms = 0;
            });
        }
        _ => {
            let controller = parameters.controller;
            cluster.faults.key_value.writes_held_from.insert(controller);
            cluster.schedule(parameters.duration_ms / 4, move |cluster| {
                cluster
                    .faults
                    .key_value
                    .writes_held_from
                    .remove(&controller);
                cluster.release_writes();
            });
        }
    }
}

fn network_fault(
    cluster: &mut Cluster,
    rng: &mut RunRng,
    parameters: &FaultParameters,
    number: u32,
) {
    match number {
        10 => {
            cluster.faults.heartbeats.copies_after_ms =
                vec![rng.ms(100..3_000), rng.ms(3_000..30_000)];
            end_after(cluster, parameters.duration_ms, |faults| {
                faults.heartbeats.copies_after_ms.clear();
            });
        }
        11 => cluster.faults.heartbeats.is_copied_for_next_leader ^= true,
        12 => {
            cluster.faults.are_commands_held = true;
            cluster.schedule(parameters.duration_ms / 3, |cluster| {
                cluster.release_commands();
                cluster.faults.are_commands_held = false;
            });
        }
        13 => {
            cluster.faults.partitioned_zone = Some(ZonePartition {
                zone: rng.one_of(&["a", "b"]).to_owned(),
                controllers: BTreeSet::from([parameters.controller]),
            });
            end_after(cluster, parameters.duration_ms, |faults| {
                faults.partitioned_zone = None;
            });
        }
        22 => {
            let (share, max_extra_ms) = (rng.0.f64(), rng.ms(20..3_900));
            cluster.faults.slow_links = Some(SlowLinks {
                share,
                max_extra_ms,
            });
            end_after(cluster, parameters.duration_ms, |faults| {
                faults.slow_links = None
            });
        }
        23 => hold_messages(cluster, parameters.controller, rng.ms(200..6_000)),
        _ => flapping_network(cluster, rng, parameters.duration_ms),
    }
}

fn machine_fault(
    cluster: &mut Cluster,
    rng: &mut RunRng,
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

/// Schedules the end of a fault after a duration, ms.
fn end_after(cluster: &mut Cluster, duration_ms: u64, end: impl FnOnce(&mut Faults) + 'static) {
    cluster.schedule(duration_ms, move |cluster| end(&mut cluster.faults));
}

/// Cuts the leader off from the key-value store and its peers.
fn cut_off_leader(cluster: &mut Cluster, duration_ms: u64) {
    let leader = cluster.leader();
    cluster.faults.key_value.unreachable_from.insert(leader);
    cluster.faults.cut_from_peers.insert(leader);
    end_after(cluster, duration_ms, move |faults| {
        faults.key_value.unreachable_from.remove(&leader);
        faults.cut_from_peers.remove(&leader);
    });
}

/// Lets the key-value store refuse the leader's requests and, in half of the cases, be down for all soon after.
fn refuse_leader(cluster: &mut Cluster, rng: &mut RunRng, duration_ms: u64) {
    let leader = cluster.leader();
    cluster.faults.key_value.refused_controllers.insert(leader);
    end_after(cluster, duration_ms, move |faults| {
        faults.key_value.refused_controllers.remove(&leader);
    });
    if rng.0.bool() {
        let delay_ms = rng.ms(0..2_500);
        let set_down =
            |is_down| move |cluster: &mut Cluster| cluster.faults.key_value.is_down = is_down;
        cluster.schedule(delay_ms, set_down(true));
        cluster.schedule(delay_ms + duration_ms, set_down(false));
    }
}

/// Holds back the messages between a controller and all machines for a duration, ms.
fn hold_messages(cluster: &mut Cluster, controller: usize, duration_ms: u64) {
    let released_at = cluster.now + duration_ms;
    cluster
        .faults
        .messages_held_until
        .insert(controller, released_at);
    end_after(cluster, duration_ms, move |faults| {
        if faults.messages_held_until.get(&controller) == Some(&released_at) {
            faults.messages_held_until.remove(&controller);
        }
    });
}

/// Holds back the messages between all controllers and machines a few times in a row, then cuts them off from each
/// other.
fn flapping_network(cluster: &mut Cluster, rng: &mut RunRng, duration_ms: u64) {
    let mut wait_ms = 0;
    for _ in 0..rng.0.usize(1..4) {
        let held_ms = rng.ms(200..5_000);
        cluster.schedule(wait_ms, move |cluster| {
            for controller in 0..CONTROLLER_COUNT {
                hold_messages(cluster, controller, held_ms);
            }
        });
        wait_ms += held_ms + rng.ms(20..1_500);
    }
    cluster.schedule(wait_ms, move |cluster| {
        cluster.faults.cut_from_workers.extend(0..CONTROLLER_COUNT);
    });
    end_after(cluster, wait_ms + duration_ms, move |faults| {
        for controller in 0..CONTROLLER_COUNT {
            faults.cut_from_workers.remove(&controller);
        }
    });
}

/// Delays a machine's heartbeats, but not the commands to it, and cancels jobs on it. Seconds later, cuts the machine
/// off from all controllers for about the duration of a lease.
fn slow_heartbeats_then_cut_off(cluster: &mut Cluster, rng: &mut RunRng, id: MachineId) {
    let slow_ms = rng.ms(300..3_900);
    cluster
        .faults
        .heartbeats
        .slow_ms
        .insert(id.clone(), slow_ms);
    for job in cluster.jobs_on(&id).into_iter().take(2) {
        let controller = rng.controller();
        let delay_ms = rng.ms(0..5_000);
        cluster.schedule(delay_ms, move |cluster| {
            cluster.send_cancel(controller, job);
        });
    }
    let cut_off_machine = id.clone();
    let slow_for_ms = rng.ms(2_000..8_000);
    end_after(cluster, slow_for_ms, move |faults| {
        faults.heartbeats.slow_ms.remove(&cut_off_machine);
        faults.heartbeats.lost_from.insert(cut_off_machine.clone());
        faults.unreachable_machines.insert(cut_off_machine);
    });
    let ends_after_ms = slow_for_ms + rng.ms(15_000..22_000);
    end_after(cluster, ends_after_ms, move |faults| {
        faults.heartbeats.lost_from.remove(&id);
        faults.unreachable_machines.remove(&id);
    });
}

/// Cancels the jobs with running tasks on a machine and makes the machine hang.
fn cancel_jobs_and_hang(cluster: &mut Cluster, rng: &mut RunRng, id: &MachineId, duration_ms: u64) {
    for job in cluster.jobs_on(id) {
        let controller = rng.controller();
        cluster.send_cancel(controller, job);
    }
    cluster.hang(id, duration_ms);
}
