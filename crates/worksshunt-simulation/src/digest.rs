//! A digest of everything that controllers send and receive, and of the verdict on the day. The cluster feeds it
//! while it runs.
//!
//! Two versions of the program that behave alike and write the same bytes have the same digests for the same
//! seeds. The digest covers, for each message, the time, the controller, the direction, the kind of the message and
//! its bytes as the protocol or the peer link has them. No Rust name is part of it.

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

/// The finished digest of a day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DayDigest {
    /// How many messages it covers.
    pub messages: u64,
    /// The hash, in hexadecimal digits.
    pub hash: String,
}

impl std::fmt::Display for DayDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.hash, self.messages)
    }
}

/// A digest under way.
#[derive(Debug, Clone, Default)]
pub struct TrafficDigest {
    hash: Sha256,
    messages: u64,
}

/// One message as it crosses a connection: its kind, and its bytes.
struct Message {
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
    /// Adds a length and the bytes, so that no two sequences of fields give the same input.
    fn field(&mut self, bytes: &[u8]) {
        self.hash.update((bytes.len() as u64).to_le_bytes());
        self.hash.update(bytes);
    }

    fn message(&mut self, at_ms: u64, controller: usize, message: &Message) {
        self.messages += 1;
        self.hash.update(at_ms.to_le_bytes());
        self.hash.update((controller as u64).to_le_bytes());
        self.field(message.kind.as_bytes());
        self.field(&message.bytes);
    }

    /// Adds what a controller sends.
    pub(crate) fn sent(&mut self, at_ms: u64, controller: usize, action: &Action) {
        self.message(at_ms, controller, &action_message(action));
    }

    /// Adds what reaches a controller. The passing of time is no message.
    pub(crate) fn received(&mut self, at_ms: u64, controller: usize, event: &Event) {
        if let Some(message) = event_message(event) {
            self.message(at_ms, controller, &message);
        }
    }

    /// Adds the verdict on the day and ends the digest.
    pub fn finish(mut self, verdict: &Result<(), Failure>) -> DayDigest {
        match verdict {
            Ok(()) => self.field(b"passed"),
            Err(failure) => {
                self.field(b"failed");
                failure
                    .invariants()
                    .for_each(|rule| self.field(rule.as_bytes()));
            }
        }
        let hash = self.hash.finalize();
        DayDigest {
            messages: self.messages,
            hash: hash.iter().map(|byte| format!("{byte:02x}")).collect(),
        }
    }
}

fn action_message(action: &Action) -> Message {
    match action {
        Action::Respond(_, reply) => client_reply(reply),
        Action::CallKeyValueStore { request, .. } => key_value_request(request),
        Action::CallCloud(request) => cloud_request(request),
        Action::SendCommands(orders) => {
            Message::json("command request", &(&orders.machine, &orders.batch))
        }
        Action::SendToPeer(to, request) => Message::borsh("peer request", &(to, request)),
        Action::RespondToPeer(_, answer) => Message::borsh("peer response sent", answer),
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
        Event::CloudResponse(_, reply) => cloud_response(reply),
        Event::DirectCommandsOutcome(orders, reply) => match reply {
            DirectCommandsOutcome::Answered(heartbeat) => {
                Message::json("command response", heartbeat)
            }
            DirectCommandsOutcome::NotSent => Message::json("command not sent", &orders.machine),
            DirectCommandsOutcome::NoAnswer => Message::json("command unanswered", &orders.machine),
        },
        Event::PeerRequest(_, request) => Message::borsh("peer request received", request),
        Event::PeerResponse(answer) => Message::borsh("peer response", answer),
        Event::PeerKeyValueHealth(healthy) => Message::borsh("peer health", healthy),
        Event::PeerKnownEpoch(from, known) => Message::borsh("peer epoch", &(from, known)),
    })
}

fn client_reply(reply: &HttpResponse) -> Message {
    Message::json(
        "client response",
        &(reply.status, &reply.body, reply.retry_after_s),
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

fn key_value_response(reply: &KvResponse) -> Message {
    let at = |revision: &Revision| StoreRevision {
        revision: *revision,
    };
    match reply {
        KvResponse::LeaseGranted(lease) => Message::json("lease granted", &Lease { id: *lease }),
        KvResponse::LeaseRenewed => Message::empty("lease renewed"),
        KvResponse::NoSuchLease => Message::empty("no such lease"),
        KvResponse::Found(pair) => Message::json("found", pair),
        KvResponse::Missing => Message::empty("missing"),
        KvResponse::Listing(listing) => Message::json("listing", listing),
        KvResponse::Committed(revision) => Message::json("committed", &at(revision)),
        KvResponse::Conflict(keys) => {
            let failed = keys.clone();
            Message::json(
                "conflict",
                &Conflict {
                    failed_keys: failed,
                },
            )
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
        CloudRequest::Release(names) => Message::json("return", names),
        CloudRequest::ListMachines => Message::empty("machine list"),
        CloudRequest::ReadCatalog => Message::empty("catalogue"),
    }
}

fn cloud_response(reply: &CloudResponse) -> Message {
    match reply {
        CloudResponse::Machines(names) => Message::json("machines", names),
        CloudResponse::NoCapacity => Message::empty("no capacity"),
        CloudResponse::List(pages) => Message::json("machine list received", pages),
        CloudResponse::Catalog(catalog) => Message::json("catalogue received", catalog),
        CloudResponse::Failed => Message::empty("cloud call failed"),
    }
}
