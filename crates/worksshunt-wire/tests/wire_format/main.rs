//! The exact bytes of every message, against files in `fixtures/`.
//!
//! A file of JSON messages is an object with one message per line, as `"name": message`; the messages
//! between controllers are in hex, one `name hex` per line. A difference means that other programs, or a
//! controller of another version, no longer understand this one: the code is wrong, not the file.

use std::collections::BTreeSet;
use std::fmt::Debug;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::json;
use worksshunt_wire::cloud::{
    Catalog, ListedMachine, ListedState, MachineIds, MachineList, MachineType, ProvisionRequest,
};
use worksshunt_wire::key_value::{
    Change, CompareAndSwap, Conflict, ExpectedRevision, KeyValue, Lease, LeaseRequest, Listing,
    StoreRevision, WatchEvent, WatchResponse,
};
use worksshunt_wire::peer::{
    Assignment, AttemptEnded, AttemptOutcome, AttemptStatus, KnownEpoch, LeaderDirectives,
    MachineDirectives, MachineStatus, PartitionStatus, PeerRequest, PeerResponse, Phase,
};
use worksshunt_wire::settings::{
    CloudLimits, Facts, KeyValueLimits, NextKeyValueLimits, Objective, Peer, ProcessLimits,
    Services, Settings, Team, Workers,
};
use worksshunt_wire::user::{JobKind, JobSpec, JobState, JobStatus, Priority};
use worksshunt_wire::worker::{
    Command, CommandBatch, ExitReason, Heartbeat, HeartbeatResponse, Redirect, TaskState,
    TaskStatus,
};
use worksshunt_wire::{
    Attempt, ControllerName, Epoch, Incarnation, JobId, MachineId, Revision, TaskId,
};

/// The messages of one file, and those of them that a test has compared.
struct Fixtures {
    messages: Vec<(&'static str, &'static str)>,
    compared: BTreeSet<&'static str>,
}

impl Fixtures {
    /// A file of JSON messages.
    fn json(text: &'static str) -> Fixtures {
        let message = |line: &'static str| {
            let line = line.strip_suffix(',').unwrap_or(line);
            let (name, message) = line.split_once("\": ").expect("a name and a message");
            (name.strip_prefix('"').expect("a name in quotes"), message)
        };
        let lines = text.lines().filter(|line| !matches!(*line, "{" | "}"));
        Fixtures::of(lines.map(message).collect())
    }

    /// A file of messages in hex.
    fn hex(text: &'static str) -> Fixtures {
        let message = |line: &'static str| line.split_once(' ').expect("a name and a message");
        Fixtures::of(text.lines().map(message).collect())
    }

    fn of(messages: Vec<(&'static str, &'static str)>) -> Fixtures {
        let names: BTreeSet<&str> = messages.iter().map(|(name, _)| *name).collect();
        assert_eq!(names.len(), messages.len(), "every name is used once");
        Fixtures {
            messages,
            compared: BTreeSet::new(),
        }
    }

    fn message(&mut self, name: &str, written: &str) -> &'static str {
        let found = self.messages.iter().find(|message| message.0 == name);
        let (name, message) = found.unwrap_or_else(|| panic!("no fixture: \"{name}\": {written}"));
        assert!(self.compared.insert(name), "{name} is compared twice");
        message
    }

    /// The value is written as this message, and the message is read as this value.
    fn same<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let written = serde_json::to_string(&value).expect("JSON");
        let message = self.message(name, &written);
        assert_eq!(written, message, "{name} as written");
        let read: T = serde_json::from_str(message).expect(name);
        assert_eq!(read, value, "{name} as read");
    }

    /// The message is read as this value, which is written in another form.
    fn reads<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let written = serde_json::to_string(&value).expect("JSON");
        let message = self.message(name, &written);
        assert_ne!(written, message, "{name} is written in the same form");
        let read: T = serde_json::from_str(message).expect(name);
        assert_eq!(read, value, "{name} as read");
    }

    /// Like [`Fixtures::same`], for a message between controllers.
    fn same_frame<T>(&mut self, name: &str, value: T)
    where
        T: BorshSerialize + BorshDeserialize + PartialEq + Debug,
    {
        let written = hex(&borsh::to_vec(&value).expect("bytes"));
        let message = self.message(name, &written);
        assert_eq!(written, message, "{name} as written");
        let read: T = borsh::from_slice(&bytes(message)).expect(name);
        assert_eq!(read, value, "{name} as read");
    }

    /// No message of the file was left out.
    fn all_compared(&self) {
        let names: BTreeSet<&str> = self.messages.iter().map(|(name, _)| *name).collect();
        assert_eq!(self.compared, names, "messages compared");
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        index,
    }
}

fn machines(names: &[&str]) -> Vec<MachineId> {
    names.iter().map(|name| MachineId::from(*name)).collect()
}

#[test]
fn cloud_messages_keep_their_bytes() {
    let mut fixtures = Fixtures::json(include_str!("fixtures/cloud.json"));
    let catalog = |spot_price, image_pull_gb_per_s| Catalog {
        types: vec![MachineType {
            name: "m8".into(),
            cpus: 8.5,
            gpus: 2.0,
            memory_gb: 64.25,
            price: 3.5,
            spot_price,
            boot_s: 45.0,
            image_pull_gb_per_s,
            zones: vec!["a".into(), "b".into()],
        }],
    };
    fixtures.same("catalog", catalog(Some(1.25), 0.75));
    fixtures.same("catalog, no spot price", catalog(None, 0.75));
    fixtures.reads("catalog, fields absent", catalog(None, 0.0));
    let provision = |spot| ProvisionRequest {
        request_name: "n0.7.12".into(),
        machine_type: "m8".into(),
        zone: "b".into(),
        spot,
        count: 3,
    };
    fixtures.same("rental of spot machines", provision(true));
    fixtures.same("rental of ordinary machines", provision(false));
    let names = machines(&["i-000041", "i-000042"]);
    fixtures.same("machine names", MachineIds { machines: names });
    let listed = |id: &str, state, spot| ListedMachine {
        id: id.into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot,
        state,
        age_s: 12.5,
    };
    let machine_list = MachineList {
        machines: vec![
            listed("i-000001", ListedState::Starting, true),
            listed("i-000002", ListedState::Running, false),
            listed("i-000003", ListedState::Failed, true),
        ],
        more: true,
    };
    fixtures.same("machine list", machine_list);
    fixtures.reads("machine list, fields absent", MachineList::default());
    fixtures.all_compared();
}

fn transaction() -> CompareAndSwap {
    let put = |lease| Change::Put {
        key: "c/n/n0".into(),
        value: json!([1, "x"]),
        lease,
    };
    CompareAndSwap {
        expected: vec![ExpectedRevision {
            key: "c/epoch".into(),
            version: Revision(13),
        }],
        changes: vec![
            put(Some(9)),
            put(None),
            Change::Delete {
                key: "k/i-000003".into(),
            },
        ],
    }
}

#[test]
fn key_value_messages_keep_their_bytes() {
    let mut fixtures = Fixtures::json(include_str!("fixtures/key_value.json"));
    let listing = |more| Listing {
        pairs: vec![KeyValue {
            key: "j/j-000412".into(),
            value: json!({ "at": 5 }),
            version: Revision(31),
        }],
        more,
        revision: Revision(77),
    };
    fixtures.same("pair", listing(true).pairs.remove(0));
    fixtures.same("listing", listing(true));
    fixtures.reads("listing, fields absent", listing(false));
    fixtures.same("transaction", transaction());
    let revision = Revision(78);
    fixtures.same("at revision", StoreRevision { revision });
    let failed = vec!["c/epoch".into(), "d/4".into()];
    fixtures.same("conflict", Conflict { failed });
    fixtures.same("lease request", LeaseRequest { ttl_ms: 6_000 });
    fixtures.same("lease", Lease { lease: 19 });
    let changes = WatchResponse {
        revision: Revision(80),
        events: vec![
            WatchEvent::Put {
                key: "j/j-000007".into(),
                value: json!({ "at": 6 }),
                version: Revision(79),
            },
            WatchEvent::Delete {
                key: "j/j-000008".into(),
                version: Revision(80),
            },
        ],
    };
    fixtures.same("changes", changes);
    let nothing = WatchResponse {
        revision,
        events: Vec::new(),
    };
    fixtures.reads("changes, fields absent", nothing);
    fixtures.all_compared();
}

fn spec(kind: JobKind, priority: Priority) -> JobSpec {
    JobSpec {
        id: JobId(412),
        class: "nightly".into(),
        team: "red".into(),
        kind,
        priority,
        tasks: 40,
        cpus: 1.5,
        gpus: 0.5,
        memory_gb: 6.25,
        image: "img".into(),
        image_gb: 2.75,
        machine_types: Some(vec!["m4".into(), "m8".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 600.5,
        checkpoint_s: 60.25,
        save_s: 4.5,
        deadline_s: Some(3_600.5),
    }
}

#[test]
fn user_messages_keep_their_bytes() {
    let mut fixtures = Fixtures::json(include_str!("fixtures/user.json"));
    fixtures.same("array, low", spec(JobKind::Array, Priority::Low));
    fixtures.same("array, normal", spec(JobKind::Array, Priority::Normal));
    fixtures.same("array, urgent", spec(JobKind::Array, Priority::Urgent));
    // No two of the three flags are alike in both, so that none can take another's place.
    let service = JobSpec {
        one_zone: false,
        spread: true,
        ..spec(JobKind::Service, Priority::Prod)
    };
    fixtures.same("service, prod", service);
    let bare = JobSpec {
        machine_types: None,
        zone: None,
        spot: false,
        deadline_s: None,
        ..spec(JobKind::Array, Priority::Low)
    };
    fixtures.same("array, fields null", bare.clone());
    fixtures.reads("array, fields absent", bare);
    let status = |state, done, running| JobStatus {
        id: JobId(412),
        state,
        done,
        running,
    };
    fixtures.same("pending", status(JobState::Pending, None, None));
    fixtures.same("running", status(JobState::Running, Some(7), Some(5)));
    fixtures.same("done", status(JobState::Done, Some(40), None));
    fixtures.same("cancelled", status(JobState::Cancelled, None, Some(2)));
    fixtures.all_compared();
}

fn heartbeat(spot: bool, notice_s: Option<f64>) -> Heartbeat {
    let task_status = |index, state, reason, saved| TaskStatus {
        task: task(412, index),
        attempt: Attempt(300 + u64::from(index)),
        state,
        reason,
        saved,
    };
    let ended = |index, reason, saved| task_status(index, TaskState::Ended, Some(reason), saved);
    Heartbeat {
        machine: "i-000041".into(),
        addr: "10.1.0.1:9000".into(),
        machine_type: "m8".into(),
        zone: "b".into(),
        spot,
        incarnation: Incarnation(3),
        sequence: 17,
        fencing_token: Epoch(5),
        notice_s,
        tasks: vec![
            task_status(0, TaskState::Fetching, None, None),
            task_status(1, TaskState::Running, None, None),
            task_status(2, TaskState::Saving, None, None),
            ended(3, ExitReason::Done, None),
            ended(4, ExitReason::Stopped, Some(true)),
            ended(5, ExitReason::Error, Some(false)),
            ended(6, ExitReason::InsufficientResources, None),
            ended(7, ExitReason::Busy, None),
            ended(8, ExitReason::Unknown, None),
        ],
    }
}

fn commands() -> Vec<Command> {
    let launch = Command::Launch {
        task: task(412, 1),
        attempt: Attempt(301),
    };
    let halt = Command::Halt {
        task: task(412, 2),
        attempt: Attempt(302),
        grace_s: 4.5,
    };
    let reap = Command::Reap {
        task: task(412, 3),
        attempt: Attempt(303),
    };
    vec![launch, halt, reap]
}

#[test]
fn worker_messages_keep_their_bytes() {
    let mut fixtures = Fixtures::json(include_str!("fixtures/worker.json"));
    fixtures.same("report with notice", heartbeat(true, Some(30.5)));
    fixtures.same("report", heartbeat(false, None));
    fixtures.reads("report, fields absent", heartbeat(false, None));
    let response = HeartbeatResponse {
        fencing_token: Epoch(5),
        commands: commands(),
    };
    fixtures.same("answer to a report", response);
    let batch = CommandBatch {
        fencing_token: Epoch(5),
        incarnation: Incarnation(3),
        commands: commands(),
    };
    fixtures.same("orders", batch);
    let redirect = |report_to| Redirect { report_to };
    fixtures.same("redirect", redirect(Some("n2".into())));
    fixtures.same("redirect to nobody", redirect(None));
    fixtures.all_compared();
}

fn team(name: &str, first: f64) -> Team {
    Team {
        name: name.into(),
        cpus: first,
        cpus_max: first + 1.0,
        gpus: first + 2.0,
        gpus_max: first + 3.0,
    }
}

fn settings(objectives: Vec<Objective>, next: Option<NextKeyValueLimits>) -> Settings {
    let peer = |name: &str, site: &str, endpoint: &str| Peer {
        host_name: name.into(),
        site: site.into(),
        endpoint: endpoint.into(),
    };
    Settings {
        host_name: "n0".into(),
        site: "a".into(),
        client_listen: "10.0.0.1:8000".into(),
        internal_addr: "10.0.0.1:8001".into(),
        known: vec![
            peer("n1", "b", "10.0.0.2:8001"),
            peer("n2", "c", "10.0.0.3:8001"),
        ],
        services: Services {
            cloud: "10.2.0.1:1".into(),
            state: "10.2.0.2:1".into(),
        },
        facts: Facts {
            teams: vec![team("red", 10.5), team("blue", 20.5)],
            objectives,
            workers: Workers {
                heartbeat_interval_s: 2.5,
                lease_s: 16.25,
                cancel_s: 30.75,
            },
            state: KeyValueLimits {
                rps: 500.5,
                write_rps: 60.5,
                value_kb: 64.5,
                txn_ops: 20,
                next,
            },
            cloud: CloudLimits {
                rps: 5.5,
                list_lag_s: 6.25,
            },
            limits: ProcessLimits {
                sockets: 1_000,
                mem_mb: None,
            },
        },
    }
}

#[test]
fn settings_keep_their_bytes() {
    let mut fixtures = Fixtures::json(include_str!("fixtures/settings.json"));
    let objective = |kind: &str, class: Option<&str>, within_s, times| Objective {
        kind: kind.into(),
        class: class.map(str::to_owned),
        within_s,
        times,
    };
    let objectives = || {
        vec![
            objective("deadline", Some("nightly"), Some(40.5), Some(1.5)),
            objective("wait", None, None, None),
        ]
    };
    let next = NextKeyValueLimits {
        rps: Some(400.5),
        write_rps: Some(50.5),
        value_kb: Some(32.5),
        txn_ops: Some(10),
    };
    let mut full = settings(objectives(), Some(next));
    full.facts.limits.mem_mb = Some(512.5);
    fixtures.same("settings", full);
    let empty = Some(NextKeyValueLimits::default());
    fixtures.same(
        "settings, fields null",
        settings(objectives(), empty.clone()),
    );
    fixtures.reads("settings, fields absent", settings(Vec::new(), None));
    let objectives = vec![objective("wait", None, None, None)];
    fixtures.reads("settings, inner fields absent", settings(objectives, empty));
    fixtures.reads("settings, unknown fields", settings(Vec::new(), None));
    fixtures.all_compared();
}

fn machine_status(idle_ms: Option<u64>) -> MachineStatus {
    MachineStatus {
        id: "i-000041".into(),
        machine_type: "m8".into(),
        zone: "b".into(),
        spot: false,
        schedulable: false,
        idle_ms,
        cpus: 1.5,
        gpus: 2.5,
        memory_gb: 3.5,
        reclaim_notice: false,
        unreachable: false,
        lost: false,
    }
}

fn partition_status() -> PartitionStatus {
    let attempt_status = |index, phase| AttemptStatus {
        task: task(412, index),
        attempt: Attempt(300 + u64::from(index)),
        machine: "i-000042".into(),
        phase,
        running_ms: 1_234,
    };
    let ended = |index, machine: Option<&str>, outcome| AttemptEnded {
        task: task(413, index),
        attempt: Attempt(400 + u64::from(index)),
        machine: machine.map(MachineId::from),
        outcome,
    };
    // Every flag is set on a machine of its own, so that none can take another's place.
    let flags: [fn(&mut MachineStatus); 5] = [
        |machine| machine.spot = true,
        |machine| machine.schedulable = true,
        |machine| machine.reclaim_notice = true,
        |machine| machine.unreachable = true,
        |machine| machine.lost = true,
    ];
    let flagged = flags.map(|set| {
        let mut machine = machine_status(None);
        set(&mut machine);
        machine
    });
    PartitionStatus {
        epoch: Epoch(5),
        from: "n1".into(),
        sequence: 9,
        acknowledged: 8,
        machines: [machine_status(Some(7_000))]
            .into_iter()
            .chain(flagged)
            .collect(),
        removed_machines: machines(&["i-000050", "i-000051"]),
        attempts: vec![
            attempt_status(0, Phase::Queued),
            attempt_status(1, Phase::Placed),
            attempt_status(2, Phase::Running),
            attempt_status(3, Phase::Completed),
        ],
        ended_attempts: vec![
            ended(0, Some("i-000060"), AttemptOutcome::Failed),
            ended(1, Some("i-000061"), AttemptOutcome::Stopped),
            ended(2, Some("i-000062"), AttemptOutcome::Lost),
            ended(3, None, AttemptOutcome::Unplaced),
            ended(4, Some("i-000063"), AttemptOutcome::Acknowledged),
        ],
    }
}

fn leader_directives() -> LeaderDirectives {
    let assignment = |index, zone: Option<&str>, claimed: Option<&str>| Assignment {
        task: task(412, index),
        attempt: Attempt(500 + u64::from(index)),
        zone: zone.map(str::to_owned),
        claimed: claimed.map(MachineId::from),
    };
    LeaderDirectives {
        epoch: Epoch(5),
        in_reply_to: 9,
        sequence: 11,
        assignments: vec![
            assignment(4, Some("b"), Some("i-000070")),
            assignment(5, None, None),
        ],
        stop_attempts: vec![Attempt(601), Attempt(602)],
        durable_attempts: vec![Attempt(603)],
        machine_directives: Some(MachineDirectives {
            draining: machines(&["i-000080", "i-000081"]),
            claimed: machines(&["i-000082"]),
            terminated: machines(&["i-000083"]),
        }),
        progress: Some(vec![(JobId(412), 2, 5), (JobId(413), 6, 7)]),
    }
}

#[test]
fn peer_messages_keep_their_bytes() {
    let mut fixtures = Fixtures::hex(include_str!("fixtures/peer.txt"));
    fixtures.same_frame("request-sync", PeerRequest::Sync(partition_status()));
    fixtures.same_frame("request-store-health", PeerRequest::KeyValueHealth);
    fixtures.same_frame("request-known-epoch", PeerRequest::KnownEpoch { poll: 21 });
    fixtures.same_frame("answer-sync", PeerResponse::Sync(leader_directives()));
    let without_options = LeaderDirectives {
        machine_directives: None,
        progress: None,
        ..leader_directives()
    };
    fixtures.same_frame(
        "answer-sync-fields-absent",
        PeerResponse::Sync(without_options),
    );
    fixtures.same_frame("answer-not-leader", PeerResponse::NotLeader);
    fixtures.same_frame("answer-store-up", PeerResponse::KeyValueHealth(true));
    fixtures.same_frame("answer-store-down", PeerResponse::KeyValueHealth(false));
    let known = |store_is_reachable| {
        PeerResponse::KnownEpoch(KnownEpoch {
            poll: 21,
            epoch: Epoch(5),
            key_value_store_reachable: store_is_reachable,
        })
    };
    fixtures.same_frame("answer-known-epoch-store-up", known(true));
    fixtures.same_frame("answer-known-epoch-store-down", known(false));
    // One byte each, so that a difference names the variant.
    fixtures.same_frame("phase-queued", Phase::Queued);
    fixtures.same_frame("phase-placed", Phase::Placed);
    fixtures.same_frame("phase-running", Phase::Running);
    fixtures.same_frame("phase-completed", Phase::Completed);
    fixtures.same_frame("end-error", AttemptOutcome::Failed);
    fixtures.same_frame("end-stopped", AttemptOutcome::Stopped);
    fixtures.same_frame("end-lost", AttemptOutcome::Lost);
    fixtures.same_frame("end-handed-back", AttemptOutcome::Unplaced);
    fixtures.same_frame("end-settled", AttemptOutcome::Acknowledged);
    fixtures.same_frame("node-name", ControllerName::from("n1"));
    fixtures.all_compared();
}
