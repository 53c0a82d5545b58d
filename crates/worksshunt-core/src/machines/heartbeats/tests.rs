//! Tests of `heartbeats`: which heartbeats are accepted.

use worksshunt_wire::FencingToken;

use crate::machines::fixtures::{self, machine_id};
use crate::membership::FencingTokens;

use super::*;

/// A heartbeat of machine 0 in its first incarnation.
fn heartbeat(number: u64) -> Heartbeat {
    let heartbeat = serde_json::json!({
        "Estiba": machine_id(0), "Addr": "10.1.0.1:9000", "Modelo": "m4", "Patio": "a", "Prestados": true,
        "Jornada": 1, "Folio": number, "Vara": 1, "AvisoS": null, "Piezas": [],
    });
    serde_json::from_value(heartbeat).expect("a heartbeat")
}

/// A partition that has received heartbeat 5 of machine 0 and then a response to commands with number 7.
fn partition() -> Partition {
    let mut partition = fixtures::partition(0);
    partition.fencing_tokens = FencingTokens {
        first: FencingToken(1),
        last: FencingToken(1),
    };
    let catalog = Catalog::default();
    partition.process_heartbeat(Time(1_000), &heartbeat(5), &catalog);
    partition.apply_message(
        &heartbeat(7),
        MessageKind::CommandResponse,
        &catalog,
        Time(2_000),
    );
    partition
}

fn accepted_without_commands() -> HeartbeatOutcome {
    HeartbeatOutcome::Accepted(HeartbeatResponse {
        fencing_token: FencingToken(1),
        commands: Vec::new(),
    })
}

fn process(partition: &mut Partition, number: u64, now: Time) -> HeartbeatOutcome {
    partition.process_heartbeat(now, &heartbeat(number), &Catalog::default())
}

#[test]
fn out_of_order_heartbeat_is_accepted_once_without_commands() {
    let mut partition = partition();
    assert_eq!(
        process(&mut partition, 6, Time(3_000)),
        accepted_without_commands()
    );
    assert_eq!(
        process(&mut partition, 6, Time(3_100)),
        HeartbeatOutcome::Rejected
    );
}

// The worker has killed its tasks by then, so a response must not renew the lease.
#[test]
fn out_of_order_heartbeat_of_a_lost_machine_is_rejected() {
    let mut partition = partition();
    partition.mark_lost(&machine_id(0), Time(3_000));
    assert_eq!(
        process(&mut partition, 6, Time(3_100)),
        HeartbeatOutcome::Rejected
    );
}

#[test]
fn heartbeats_of_a_terminated_machine_are_rejected() {
    let mut partition = partition();
    partition.mark_terminated(&machine_id(0), Time(3_000));
    for number in [6, 7, 8] {
        assert_eq!(
            process(&mut partition, number, Time(3_100)),
            HeartbeatOutcome::Rejected
        );
    }
    assert_eq!(
        process(&mut self::partition(), 8, Time(3_100)),
        accepted_without_commands()
    );
}
