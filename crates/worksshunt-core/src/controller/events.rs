//! The events that a controller processes and the actions that it returns.
//!
//! The service of the binary and the simulation turn what comes over the network into an [`Event`] and carry out
//! each [`Action`]; its response comes back as another event.

use worksshunt_wire::cloud::{Catalog, MachineIds, MachineList};
use worksshunt_wire::key_value::{CompareAndSwap, KeyValue, Listing, WatchResponse};
use worksshunt_wire::peer::{EpochPollResponse, PeerRequest, PeerResponse};
use worksshunt_wire::{ControllerName, Epoch, JobId, Revision};

use crate::fleet::CloudRequest;
use crate::job_api::{HttpResponse, JobRequest, RequestId};
use crate::machines::{DirectCommands, DirectCommandsOutcome};
use crate::time::Time;

/// A request to the key-value store.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequest {
    /// A new lease.
    GrantLease,
    /// Renew a lease.
    RenewLease(u64),
    /// Read one key.
    Get(String),
    /// Read all keys of a prefix.
    List(String),
    /// Write if the expected revisions hold.
    CompareAndSwap(CompareAndSwap),
    /// Changes of a prefix after a revision.
    Watch {
        /// The prefix.
        prefix: String,
        /// The revision after which changes are wanted.
        since: Revision,
        /// How long to wait for the first change, in milliseconds.
        wait_ms: u64,
    },
}

/// The key-value store's response.
#[derive(Debug, Clone, PartialEq)]
pub enum KvResponse {
    /// The lease granted.
    LeaseGranted(u64),
    /// The lease was renewed.
    LeaseRenewed,
    /// There is no such lease.
    NoSuchLease,
    /// A key's value.
    Found(KeyValue),
    /// There is no such key.
    Missing,
    /// All keys of the prefix, at the revision of the first page.
    Listing(Listing),
    /// The write was applied, at that revision.
    Committed(Revision),
    /// The expected revisions of these keys did not hold.
    Conflict(Vec<String>),
    /// The changes.
    WatchResponse(WatchResponse),
    /// The changes after the revision are no longer kept.
    RevisionCompacted,
    /// Not executed: larger than the limits.
    TooLarge,
    /// Not executed.
    Refused,
    /// No response that shows whether it was executed.
    NoAnswer,
}

impl KvResponse {
    /// Whether the key-value store has executed the request, or stated why it does not.
    pub(super) fn is_definite(&self) -> bool {
        !matches!(self, KvResponse::Refused | KvResponse::NoAnswer)
    }
}

/// What a request to the key-value store is for; comes back with its response.
#[derive(Debug, Clone, PartialEq)]
pub enum KvPurpose {
    /// The controller's lease.
    GrantLease,
    /// Its renewal.
    RenewLease(u64),
    /// The member key.
    WriteMemberKey,
    /// The control keys.
    ReadControlKeys,
    /// The next epoch.
    ProposeEpoch,
    /// The first reading of the open jobs.
    ListOpenJobs,
    /// The long watch of the open jobs.
    WatchOpenJobs,
    /// The catch-up read of the open jobs.
    CatchUpOpenJobs,
    /// A step of loading an epoch.
    LoadEpoch {
        /// The epoch.
        epoch: Epoch,
        /// The step.
        step: LoadStep,
    },
    /// The final state of a job on record, at the start of an epoch.
    LoadFinalState {
        /// The epoch.
        epoch: Epoch,
        /// The job.
        job: JobId,
    },
    /// A conditional write of an epoch.
    QueuedWrite {
        /// The queue.
        queue: WriteQueueId,
        /// The epoch.
        epoch: Epoch,
        /// The write's number in its queue.
        number: u64,
    },
    /// The version of a page that was written at an unknown one.
    ReadPageVersion {
        /// The epoch.
        epoch: Epoch,
        /// The key of the page.
        key: String,
    },
    /// A final state whose read had to be put off.
    LookUpFinalState(JobId),
    /// Submissions, by the number of their write.
    AcceptSubmissions(u64),
    /// A cancellation.
    CancelJob(JobRequest),
    /// The final state that a request waits for.
    ReadFinalState(JobRequest),
    /// The catalogue as it was last stored.
    ReadCatalog,
    /// Storing the catalogue.
    StoreCatalog(Catalog),
}

/// Which of an epoch's conditional writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteQueueId {
    /// Attempt records of the own partition.
    AttemptRecords,
    /// Completions, and attempt records of former epochs (leader).
    LeaderPages,
    /// Ends of jobs, claims, and keys to be removed (leader).
    FinalWrites,
    /// Keys of their own for jobs of submission batches (leader).
    SubmissionBatches,
}

/// Steps of loading an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadStep {
    /// The attempt records.
    AttemptRecords,
    /// Completed tasks (leader).
    Completions,
    /// Claims (leader).
    Claims,
    /// The open jobs, read after the records: a job on a record but not open is over.
    OpenJobs,
    /// Final states of jobs on record that are over, and what their tasks use (leader).
    FinalStates,
}

/// The cloud's response.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudResponse {
    /// Machines provisioned, or released.
    Machines(MachineIds),
    /// No machines are available.
    NoCapacity,
    /// The machine list.
    List(Vec<MachineList>),
    /// The catalogue.
    Catalog(Catalog),
    /// No response, or one that cannot be used.
    NoAnswer,
}

/// An event that a controller processes.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A submission.
    Submit {
        /// The request.
        request_id: RequestId,
        /// The body as received.
        body: Vec<u8>,
    },
    /// A request for a job's status.
    Status {
        /// The request.
        request_id: RequestId,
        /// The job's id as the user wrote it.
        job_id: String,
    },
    /// A cancellation.
    Cancel {
        /// The request.
        request_id: RequestId,
        /// The job's id as the user wrote it.
        job_id: String,
    },
    /// A request for the metrics.
    Metrics(RequestId),
    /// A health check.
    Health(RequestId),
    /// A worker's heartbeat.
    Heartbeat {
        /// The request.
        request_id: RequestId,
        /// The body as received.
        body: Vec<u8>,
    },
    /// The key-value store has answered a request, or has not.
    KeyValueResponse {
        /// What the request is for.
        purpose: KvPurpose,
        /// When the request was sent.
        sent_at: Time,
        /// The response.
        response: KvResponse,
    },
    /// The cloud has answered a request, or has not.
    CloudResponse(CloudRequest, CloudResponse),
    /// Direct commands to a worker were answered, or not.
    CommandsAnswered(DirectCommands, DirectCommandsOutcome),
    /// A peer's request.
    PeerRequest(RequestId, PeerRequest),
    /// The leader has answered a partition's status; none: it has not.
    PeerResponse(Option<PeerResponse>),
    /// A peer has answered whether it reaches the key-value store.
    PeerKeyValueHealth(bool),
    /// A peer has answered with what it knows of the epoch.
    PeerKnownEpoch(ControllerName, EpochPollResponse),
}

/// What a controller has its process do.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Respond to a user or a worker.
    Respond(RequestId, HttpResponse),
    /// Send a request to the key-value store.
    CallKeyValueStore {
        /// What the request is for.
        purpose: KvPurpose,
        /// The request.
        request: KvRequest,
        /// How long to wait for the response, in milliseconds.
        deadline_ms: u64,
    },
    /// Send a request to the cloud.
    CallCloud(CloudRequest),
    /// Send commands straight to a worker.
    SendCommands(DirectCommands),
    /// Send a request to a peer.
    SendToPeer(ControllerName, PeerRequest),
    /// Respond to a peer.
    RespondToPeer(RequestId, PeerResponse),
}
