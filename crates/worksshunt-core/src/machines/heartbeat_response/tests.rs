//! Tests of `heartbeat_response`: when and under which fencing token ended attempts are reaped.

use serde_json::json;
use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::FencingToken;

use crate::machines::fixtures::{self, machine_id};
use crate::machines::heartbeats::HeartbeatOutcome;
use crate::machines::worker_token::WorkerToken;
use crate::membership::FencingTokens;

use super::*;

const TOKENS: FencingTokens = FencingTokens {
    first: FencingToken(11),
    last: FencingToken(20),
};

/// The response to a heartbeat of machine 0 that lists this number of ended attempts, after a direct launch under the
/// first token. `has_batch_in_flight`: whether the outcome of that launch is not known yet.
fn response(ended_attempts: usize, has_batch_in_flight: bool) -> HeartbeatResponse {
    let mut partition = fixtures::partition(1);
    partition.fencing_tokens = TOKENS;
    let machine = partition.machines.get_mut(&machine_id(0));
    let machine = machine.expect("a machine");
    machine.token = WorkerToken::new(TOKENS);
    machine.token.record_direct_launch();
    machine.command_channel.has_batch_in_flight = has_batch_in_flight;
    let task = |n: usize| json!({"Pieza": format!("j-000001/{n}"), "Intento": n + 1, "Estado": "ended", "Motivo": "error"});
    let tasks: Vec<_> = (0..ended_attempts).map(task).collect();
    let heartbeat = json!({
        "Estiba": machine_id(0), "Addr": "10.1.0.1:9000", "Modelo": "m4", "Patio": "a", "Prestados": true,
        "Jornada": 1, "Folio": 1, "Vara": 11, "AvisoS": null, "Piezas": tasks,
    });
    let heartbeat = serde_json::from_value(heartbeat).expect("a heartbeat");
    match partition.process_heartbeat(Time(1_000), &heartbeat, &Catalog::default()) {
        HeartbeatOutcome::Accepted(response) => response,
        HeartbeatOutcome::Rejected => panic!("the heartbeat is rejected"),
    }
}

#[test]
fn a_reap_is_sent_under_a_higher_token_than_the_direct_launch() {
    let response = response(1, false);
    assert_eq!(response.commands.len(), 1);
    assert_eq!(response.fencing_token, FencingToken(12));
}

#[test]
fn reaps_wait_for_the_batch_in_flight_while_few_tasks_are_listed() {
    let held = response(MAX_TASKS_LISTED_BY_HELD_REAPS, true);
    assert_eq!(held.commands, Vec::new());
    assert_eq!(held.fencing_token, FencingToken(11));
    let sent = response(MAX_TASKS_LISTED_BY_HELD_REAPS + 1, true);
    assert_eq!(sent.commands.len(), MAX_TASKS_LISTED_BY_HELD_REAPS + 1);
    assert_eq!(sent.fencing_token, FencingToken(12));
}
