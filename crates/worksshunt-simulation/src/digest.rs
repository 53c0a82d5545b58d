//! A digest of all messages that controllers send and receive, and of the verdict on the run.
//!
//! Two versions of the program with the same behavior and wire formats have the same digests for the same seeds. For
//! each message the digest covers the time, the controller, the kind of message, which implies the direction, and the
//! bytes on the wire. No Rust identifier is part of it.

use borsh::BorshSerialize;
use serde::Serialize;
use sha2::{Digest, Sha256};
use worksshunt_core::controller::{Action, CloudResponse, Event, KvRequest, KvResponse};
use worksshunt_core::fleet::CloudRequest;
use worksshunt_core::job_api::HttpResponse;
use worksshunt_core::machines::DirectCommandsOutcome;
use worksshunt_wire::key_value::{Conflict, Lease, StoreRevision};
use worksshunt_wire::Revision;

use crate::Failure;

/// The digest of a finished run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunDigest {
    /// Number of messages covered.
    pub messages: u64,
    /// The SHA-256 hash in lowercase hexadecimal digits.
    pub hash: String,
}

impl std::fmt::Display for RunDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.hash, self.messages)
    }
}

/// A digest in progress.
#[derive(Debug, Clone, Default)]
pub struct TrafficDigest {
    hash: Sha256,
    messages: u64,
}

/// A message with its wire bytes.
struct Message {
    /// Part of the digest: changing a kind's text changes digests.
    kind: &'static str,
    bytes: Vec<u8>,
}

impl Message {
    fn bytes(kind: &'static str, bytes: impl Into<Vec<u8>>) -> Message {
        Message {
            kind,
            bytes: bytes.into(),
        }
    }

    fn empty(kind: &'static str) -> Message {
        Message::bytes(kind, Vec::new())
    }

    fn json(kind: &'static str, body: &impl Serialize) -> Message {
        Message::bytes(kind, serde_json::to_vec(body).expect("JSON"))
    }

    fn borsh(kind: &'static str, body: &impl BorshSerialize) -> Message {
        Message::bytes(kind, borsh::to_vec(body).expect("borsh"))
    }
}

impl TrafficDigest {
    /// Adds a field prefixed with its length, so that different sequences of fields have different inputs.
    fn add_field(&mut self, bytes: &[u8]) {
        self.hash.update((bytes.len() as u64).to_le_bytes());
        self.hash.update(bytes);
    }

    fn add_message(&mut self, at_ms: u64, controller: usize, message: &Message) {
        self.messages += 1;
        self.hash.update(at_ms.to_le_bytes());
        self.hash.update((controller as u64).to_le_bytes());
        self.add_field(message.kind.as_bytes());
        self.add_field(&message.bytes);
    }

    /// Adds a message that a controller sends.
    pub(crate) fn add_sent(&mut self, at_ms: u64, controller: usize, action: &Action) {
        self.add_message(at_ms, controller, &action_message(action));
    }

    /// Adds a message that a controller receives. Ticks are not messages.
    pub(crate) fn add_received(&mut self, at_ms: u64, controller: usize, event: &Event) {
        if let Some(message) = event_message(event) {
            self.add_message(at_ms, controller, &message);
        }
    }

    /// Adds the verdict on the run and finishes the digest.
    pub fn finish(mut self, verdict: &Result<(), Failure>) -> RunDigest {
        match verdict {
            Ok(()) => self.add_field(b"passed"),
            Err(failure) => {
                self.add_field(b"failed");
                failure
                    .invariants()
                    .for_each(|invariant| self.add_field(invariant.as_bytes()));
            }
        }
        let hash = self.hash.finalize();
        RunDigest {
            messages: self.messages,
            hash: hash.iter().map(|byte| format!("{byte:02x}")).collect(),
        }
    }
}

fn action_message(action: &Action) -> Message {
    match action {
        Action::Respond(_, response) => client_response(response),
        Action::CallKeyValueStore { request, .. } => key_value_request(request),
        Action::CallCloud(request) => cloud_request(request),
        Action::SendDirectCommands(commands) => {
            Message::json("command request", &(&commands.machine, &commands.batch))
        }
        Action::SendToPeer(to, request) => Message::borsh("peer request", &(to, request)),
        Action::RespondToPeer(_, response) => Message::borsh("peer response sent", response),
    }
}

fn event_message(event: &Event) -> Option<Message> {
    Some(match event {
        Event::Tick => return None,
        Event::Submit { body, .. } => Message::bytes("submission", body.as_slice()),
        Event::Status { job_id, .. } => Message::bytes("status query", job_id.as_bytes()),
        Event::Cancel { job_id, .. } => Message::bytes("cancellation", job_id.as_bytes()),
        Event::Metrics(_) => Message::empty("metrics request"),
        Event::Health(_) => Message::empty("health check"),
        Event::Heartbeat { body, .. } => Message::bytes("heartbeat", body.as_slice()),
        Event::KeyValueResponse { response, .. } => key_value_response(response),
        Event::CloudResponse(_, response) => cloud_response(response),
        Event::DirectCommandsOutcome(commands, outcome) => match outcome {
            DirectCommandsOutcome::Answered(heartbeat) => {
                Message::json("command response", heartbeat)
            }
            DirectCommandsOutcome::NotSent => Message::json("command not sent", &commands.machine),
            DirectCommandsOutcome::Unknown => {
                Message::json("command unanswered", &commands.machine)
            }
        },
        Event::PeerRequest(_, request) => Message::borsh("peer request received", request),
        Event::PeerSyncResponse(response) => Message::borsh("peer response", response),
        Event::PeerKeyValueHealth(healthy) => Message::borsh("peer health", healthy),
        Event::PeerEpochPollResponse(from, response) => {
            Message::borsh("peer epoch", &(from, response))
        }
    })
}

fn client_response(response: &HttpResponse) -> Message {
    Message::json(
        "client response",
        &(response.status, &response.body, response.retry_after_s),
    )
}

fn key_value_request(request: &KvRequest) -> Message {
    match request {
        KvRequest::GrantLease => Message::empty("lease grant"),
        KvRequest::RenewLease(lease) => Message::json("lease renewal", lease),
        KvRequest::Get(key) => Message::bytes("get", key.as_bytes()),
        KvRequest::List(prefix) => Message::bytes("list", prefix.as_bytes()),
        KvRequest::CompareAndSwap(write) => Message::json("transaction", write),
        KvRequest::Watch {
            prefix,
            since,
            wait_ms,
        } => Message::json("watch", &(prefix, since, wait_ms)),
    }
}

fn key_value_response(response: &KvResponse) -> Message {
    let store_revision = |revision: &Revision| StoreRevision {
        revision: *revision,
    };
    match response {
        KvResponse::LeaseGranted(lease) => Message::json("lease granted", &Lease { id: *lease }),
        KvResponse::LeaseRenewed => Message::empty("lease renewed"),
        KvResponse::NoSuchLease => Message::empty("no such lease"),
        KvResponse::Found(pair) => Message::json("found", pair),
        KvResponse::Missing => Message::empty("missing"),
        KvResponse::Listing(listing) => Message::json("listing", listing),
        KvResponse::Committed(revision) => Message::json("committed", &store_revision(revision)),
        KvResponse::Conflict(keys) => {
            let failed_keys = keys.clone();
            Message::json("conflict", &Conflict { failed_keys })
        }
        KvResponse::WatchResponse(changes) => Message::json("changes", changes),
        KvResponse::RevisionCompacted => Message::empty("revision compacted"),
        KvResponse::TooLarge => Message::empty("too large"),
        KvResponse::Refused => Message::empty("refused"),
        KvResponse::OutcomeUnknown => Message::empty("no answer"),
    }
}

fn cloud_request(request: &CloudRequest) -> Message {
    match request {
        CloudRequest::Provision(request) => Message::json("rent", request),
        CloudRequest::Release(machines) => Message::json("return", machines),
        CloudRequest::ListMachines => Message::empty("machine list"),
        CloudRequest::ReadCatalog => Message::empty("catalogue"),
    }
}

fn cloud_response(response: &CloudResponse) -> Message {
    match response {
        CloudResponse::Machines(machines) => Message::json("machines", machines),
        CloudResponse::NoCapacity => Message::empty("no capacity"),
        CloudResponse::List(pages) => Message::json("machine list received", pages),
        CloudResponse::Catalog(catalog) => Message::json("catalogue received", catalog),
        CloudResponse::Failed => Message::empty("cloud call failed"),
    }
}
