//! Tests of `worker`: the bytes of a request, and the outcome of each response.

use worksshunt_wire::worker::{Command, CommandBatch};
use worksshunt_wire::{AttemptId, FencingToken, Incarnation, JobId, TaskId};

use super::*;
use crate::test_server::{with_exchanges, Exchange, TIMEOUT};

const HEARTBEAT: &str = r#"{"Estiba":"i-41","Addr":"10.1.0.1:9000","Modelo":"m8","Patio":"b","Prestados":false,"Jornada":3,"Folio":17,"Vara":5,"Piezas":[]}"#;

fn commands(address: String) -> DirectCommands {
    let launch = Command::Launch {
        task: TaskId {
            job: JobId(412),
            index: 1,
        },
        attempt: AttemptId(301),
    };
    DirectCommands {
        machine: "i-41".into(),
        address,
        batch: CommandBatch {
            fencing_token: FencingToken(5),
            incarnation: Incarnation(3),
            commands: vec![launch],
        },
    }
}

/// The outcome of commands when the worker responds with this status and body.
fn outcome(status: u16, body: &str) -> DirectCommandsOutcome {
    let sent = r#"{"Jornada":3,"Ordenes":[{"Intento":301,"Orden":"launch","Pieza":"j-000412/1"}],"Vara":5}"#;
    let exchanges = [Exchange::new("POST /orders HTTP/1.1", sent, status, body)];
    with_exchanges(&exchanges, |address| async move {
        let workers = WorkerClients::new(1);
        workers
            .send_commands(&commands(address.to_string()), TIMEOUT)
            .await
    })
}

#[test]
fn response_to_commands_is_a_heartbeat() {
    let heartbeat: Heartbeat = serde_json::from_str(HEARTBEAT).expect("a heartbeat");
    let answered = DirectCommandsOutcome::Answered(heartbeat);
    assert_eq!(outcome(200, HEARTBEAT), answered);
    assert_eq!(outcome(409, HEARTBEAT), answered);
    assert_eq!(outcome(500, HEARTBEAT), DirectCommandsOutcome::Unknown);
    assert_eq!(outcome(200, "{}"), DirectCommandsOutcome::Unknown);
}

#[test]
fn unsent_commands_differ_from_unanswered_commands() {
    let port = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = port.local_addr().expect("an address").to_string();
    drop(port);
    let workers = WorkerClients::new(1);
    for address in [address, "nowhere".to_owned()] {
        let commands = commands(address);
        let call = workers.send_commands(&commands, TIMEOUT);
        assert_eq!(async_io::block_on(call), DirectCommandsOutcome::NotSent);
    }
    let unanswered = with_exchanges(&[], |address| async move {
        let workers = WorkerClients::new(1);
        workers
            .send_commands(&commands(address.to_string()), TIMEOUT)
            .await
    });
    assert_eq!(unanswered, DirectCommandsOutcome::Unknown);
}
