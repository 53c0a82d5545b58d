//! Heartbeats of workers. The controller that owns the machine processes them; the others redirect the worker to it.

use worksshunt_wire::worker::{Heartbeat, Redirect};

use crate::constants::job_api::MAX_MACHINE_NAME_BYTES;
use crate::job_api::HttpResponse;
use crate::machines::HeartbeatOutcome;
use crate::membership::EpochRecord;
use crate::partitioning::partition_owner;
use crate::time::Time;

use super::Controller;

impl Controller {
    /// Processes a heartbeat if this controller owns the machine and may act. Returns the response.
    pub(super) fn handle_heartbeat(&mut self, now: Time, body: &[u8]) -> HttpResponse {
        self.partition.metrics().record_heartbeat_size(body.len());
        let heartbeat = match parse_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return self.reject_heartbeat(&error),
        };
        let owners = self
            .membership
            .epoch()
            .map(EpochRecord::partition_owners)
            .unwrap_or_default();
        match (
            partition_owner(&heartbeat.machine, &owners),
            &self.catalog.current,
        ) {
            (Some(name), _) if name != self.membership.name() => HttpResponse::json(
                421,
                &Redirect {
                    controller: Some(name.clone()),
                },
            ),
            (Some(_), Some(catalog)) if self.membership.may_act(now) => {
                heartbeat_response(self.partition.process_heartbeat(now, &heartbeat, catalog))
            }
            _ => HttpResponse::retry_later("not entitled to act now"),
        }
    }

    /// Rejects a malformed heartbeat. Only the first is logged, since a faulty worker keeps sending them.
    fn reject_heartbeat(&mut self, error: &MalformedHeartbeat) -> HttpResponse {
        if !std::mem::replace(&mut self.has_logged_malformed_heartbeat, true) {
            tracing::warn!(%error, "rejected a malformed heartbeat; further ones are not logged");
        }
        HttpResponse::error(400, &error.to_string())
    }
}

/// Reason why a heartbeat is malformed. The text is part of the response to the worker.
#[derive(Debug, thiserror::Error)]
enum MalformedHeartbeat {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("not a machine's name")]
    MachineName,
}

fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, MalformedHeartbeat> {
    let heartbeat: Heartbeat = serde_json::from_slice(body)?;
    if is_key_component(&heartbeat.machine.0) {
        Ok(heartbeat)
    } else {
        Err(MalformedHeartbeat::MachineName)
    }
}

/// Whether a machine name is allowed as part of a key of the key-value store.
fn is_key_component(name: &str) -> bool {
    let is_allowed = |c: char| !c.is_whitespace() && !c.is_control() && c != '/';
    (1..=MAX_MACHINE_NAME_BYTES).contains(&name.len()) && name.chars().all(is_allowed)
}

fn heartbeat_response(outcome: HeartbeatOutcome) -> HttpResponse {
    match outcome {
        HeartbeatOutcome::Accepted(response) => HttpResponse::json(200, &response),
        HeartbeatOutcome::Rejected => HttpResponse::retry_later("a newer message has come"),
    }
}
