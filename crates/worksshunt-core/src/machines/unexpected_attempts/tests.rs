//! Tests of `unexpected_attempts`: which listed attempts are reported.

use serde_json::json;
use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::FencingToken;

use crate::machines::fixtures::{self, machine_id};
use crate::membership::FencingTokens;
use crate::time::Time;

use super::*;

/// The fencing token of the current epoch.
const TOKEN: u64 = 3;

/// A partition whose machine 0 is confirmed reachable, and the number of its next heartbeat.
struct Fixture {
    partition: Partition,
    number: u64,
}

impl Fixture {
    fn new() -> Fixture {
        let mut partition = fixtures::partition(0);
        partition.fencing_tokens = FencingTokens {
            first: FencingToken(TOKEN),
            last: FencingToken(TOKEN),
        };
        let number = 0;
        let mut fixture = Fixture { partition, number };
        fixture.process(TOKEN, &[]);
        fixture
    }

    /// Processes the next heartbeat, which carries a token and lists attempts of task 0 with their states.
    fn process(&mut self, token: u64, listed: &[(u64, &str)]) {
        self.number += 1;
        let task = |(attempt, state): &(u64, &str)| {
            let reason = (*state == "ended").then_some("error");
            json!({"Pieza": "j-000001/0", "Intento": attempt, "Estado": state, "Motivo": reason})
        };
        let tasks: Vec<_> = listed.iter().map(task).collect();
        let heartbeat = json!({
            "Estiba": machine_id(0), "Addr": "10.1.0.1:9000", "Modelo": "m4", "Patio": "a", "Prestados": true,
            "Jornada": 1, "Folio": self.number, "Vara": token, "Piezas": tasks,
        });
        let heartbeat = serde_json::from_value(heartbeat).expect("a heartbeat");
        let now = Time(self.number * 1_000);
        let catalog = Catalog::default();
        self.partition.process_heartbeat(now, &heartbeat, &catalog);
    }

    fn count(&self, reason: UnexpectedAttemptLabel) -> u64 {
        self.partition.metrics().unexpected_attempt_count(reason)
    }
}

#[test]
fn a_reaped_attempt_that_is_listed_again_is_counted_once() {
    let mut fixture = Fixture::new();
    // The second heartbeat may have been sent before the reap arrived.
    fixture.process(TOKEN, &[(7, "ended")]);
    fixture.process(TOKEN, &[(7, "ended")]);
    fixture.process(TOKEN, &[]);
    assert_eq!(fixture.count(UnexpectedAttemptLabel::Reaped), 0);
    fixture.process(TOKEN, &[(7, "running")]);
    fixture.process(TOKEN, &[(7, "ended")]);
    assert_eq!(fixture.count(UnexpectedAttemptLabel::Reaped), 1);
    assert_eq!(fixture.count(UnexpectedAttemptLabel::Untracked), 0);
}

#[test]
fn an_untracked_attempt_in_a_delayed_heartbeat_is_counted_once_confirmed() {
    let mut fixture = Fixture::new();
    fixture.process(TOKEN - 1, &[(7, "running")]);
    fixture.process(TOKEN, &[]);
    assert_eq!(fixture.count(UnexpectedAttemptLabel::Untracked), 0);
    fixture.process(TOKEN - 1, &[(8, "running")]);
    fixture.process(TOKEN, &[(8, "ended")]);
    assert_eq!(fixture.count(UnexpectedAttemptLabel::Untracked), 1);
}
