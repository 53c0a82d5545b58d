//! Events that a controller processes, and actions that it returns.
//!
//! The caller (the service of the binary, or the simulation) converts network traffic to [`Event`]s and executes each
//! [`Action`]. The response to a request that it sends for an action arrives as a later event.

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
    /// Grants a new lease.
    GrantLease,
    /// Renews the lease with this ID.
    RenewLease(u64),
    /// Reads one key.
    Get(String),
    /// Reads all keys with a prefix.
    List(String),
    /// Applies changes if all expected revisions hold.
    CompareAndSwap(CompareAndSwap),
    /// Reads the changes of keys with a prefix after a revision.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which changes are returned.
        since: Revision,
        /// Maximum wait for the first change, in milliseconds; 0 returns at once.
        wait_ms: u64,
    },
}

/// The outcome of a request to the key-value store.
#[derive(Debug, Clone, PartialEq)]
pub enum KvResponse {
    /// A lease was granted; its ID.
    LeaseGranted(u64),
    /// The lease was renewed.
    LeaseRenewed,
    /// The lease does not exist, or has expired.
    NoSuchLease,
    /// The key exists.
    Found(KeyValue),
    /// The key does not exist.
    Missing,
    /// All keys with the prefix, at the revision of the first page.
    Listing(Listing),
    /// The changes were applied at this revision.
    Committed(Revision),
    /// Not executed: the expected revisions of these keys did not hold.
    Conflict(Vec<String>),
    /// The changes of a watched prefix.
    WatchResponse(WatchResponse),
    /// The store has compacted the changes after the requested revision.
    RevisionCompacted,
    /// Not executed: the write exceeds the limits of the key-value store.
    TooLarge,
    /// Not executed: rate-limited, unavailable or not connected.
    Refused,
    /// Timed out or failed: the request may or may not have been executed.
    OutcomeUnknown,
}

impl KvResponse {
    /// Whether the key-value store executed the request or stated why it did not.
    pub(super) fn is_definite(&self) -> bool {
        !matches!(self, KvResponse::Refused | KvResponse::OutcomeUnknown)
    }
}

/// Why a request to the key-value store is made. The caller returns it unchanged with the response.
#[derive(Debug, Clone, PartialEq)]
pub enum KvPurpose {
    /// Obtain the membership lease.
    GrantLease,
    /// Renew the membership lease with this ID.
    RenewLease(u64),
    /// Write the member key.
    WriteMemberKey,
    /// Read the control keys: the epoch and the member keys.
    ReadControlKeys,
    /// Write the next epoch.
    ProposeEpoch,
    /// List all open jobs to load the job cache.
    ListOpenJobs,
    /// Wait for changes of the open jobs.
    WatchOpenJobs,
    /// Read the changes of the open jobs that pending user requests wait for.
    CatchUpOpenJobs,
    /// Execute a step of loading an epoch.
    LoadEpoch {
        /// Epoch that is loaded.
        epoch: Epoch,
        /// Step of the load.
        step: LoadStep,
    },
    /// Read the final state of a job that has attempt records, while an epoch is loaded.
    LoadFinalState {
        /// Epoch that is loaded.
        epoch: Epoch,
        /// Job that is not open.
        job: JobId,
    },
    /// Send a write of a write queue.
    QueuedWrite {
        /// Queue of the write.
        queue: WriteQueueId,
        /// Epoch that the write is conditional on.
        epoch: Epoch,
        /// Number of the write in its queue; copies of a write share it.
        number: u64,
    },
    /// Read the version of a page whose last write has an unknown revision.
    ReadPageVersion {
        /// Epoch in which the page was written.
        epoch: Epoch,
        /// Key of the page.
        key: String,
    },
    /// Read a final state into the job cache, after the read limit deferred the lookup of a user request.
    CacheFinalState(JobId),
    /// Accept submissions; the number of the write.
    AcceptSubmissions(u64),
    /// Write the cancellation of a job.
    CancelJob(JobRequest),
    /// Read the final state that a user request waits for.
    ReadFinalState(JobRequest),
    /// Read the stored catalog.
    ReadCatalog,
    /// Store the catalog.
    StoreCatalog(Catalog),
}

/// A queue of conditional writes of an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteQueueId {
    /// Attempt records of this controller's partition.
    AttemptRecords,
    /// Pages of completions, and attempt records of earlier epochs (leader only).
    LeaderPages,
    /// Job completions, claims, and deletions of obsolete keys (leader only).
    FinalWrites,
    /// Separate keys for jobs of submission batches (leader only).
    SubmissionBatches,
}

/// A step of loading an epoch, in the order of execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadStep {
    /// Read the attempt records.
    AttemptRecords,
    /// Read the completed tasks (leader only).
    Completions,
    /// Read the claims (leader only).
    Claims,
    /// Read the open jobs. This follows the records, so a job that has records but is not open is closed.
    OpenJobs,
    /// Read the final states of closed jobs that have records (leader only).
    FinalStates,
}

/// The outcome of a request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudResponse {
    /// The machines that were provisioned or released.
    Machines(MachineIds),
    /// The cloud has no such machines available.
    NoCapacity,
    /// All pages of the machine list.
    List(Vec<MachineList>),
    /// The catalog of machine types.
    Catalog(Catalog),
    /// No response, or an unusable one: the request may or may not have been executed.
    Failed,
}

/// An event that a controller processes.
#[derive(Debug)]
pub enum Event {
    /// A periodic tick, at which due timers run.
    Tick,
    /// A user submits a job.
    Submit {
        /// Identifies the response.
        request_id: RequestId,
        /// Request body, not yet validated.
        body: Vec<u8>,
    },
    /// A user requests the status of a job.
    Status {
        /// Identifies the response.
        request_id: RequestId,
        /// Job ID from the request path, not yet validated.
        job_id: String,
    },
    /// A user cancels a job.
    Cancel {
        /// Identifies the response.
        request_id: RequestId,
        /// Job ID from the request path, not yet validated.
        job_id: String,
    },
    /// A request for the metrics.
    Metrics(RequestId),
    /// A health check.
    Health(RequestId),
    /// A worker sends a heartbeat.
    Heartbeat {
        /// Identifies the response.
        request_id: RequestId,
        /// Request body, not yet validated.
        body: Vec<u8>,
    },
    /// A request to the key-value store succeeded, failed or timed out.
    KeyValueResponse {
        /// Purpose from the [`Action::CallKeyValueStore`].
        purpose: KvPurpose,
        /// When the request was sent.
        sent_at: Time,
        /// Outcome of the request.
        response: KvResponse,
    },
    /// A request to the cloud succeeded, failed or timed out.
    CloudResponse(CloudRequest, CloudResponse),
    /// Direct commands to a worker were answered, could not be sent or timed out.
    DirectCommandsOutcome(DirectCommands, DirectCommandsOutcome),
    /// A peer sends a request.
    PeerRequest(RequestId, PeerRequest),
    /// The leader's response to a partition status; `None` if the request failed or timed out.
    PeerSyncResponse(Option<PeerResponse>),
    /// A peer's response on whether it reaches the key-value store.
    PeerKeyValueHealth(bool),
    /// A peer's response to an epoch poll.
    PeerEpochPollResponse(ControllerName, EpochPollResponse),
}

/// An action that the caller of [`Controller::handle`](super::Controller::handle) executes.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Respond to a user, a worker or a probe.
    Respond(RequestId, HttpResponse),
    /// Send a request to the key-value store.
    CallKeyValueStore {
        /// Purpose to return with the response.
        purpose: KvPurpose,
        /// Request to send.
        request: KvRequest,
        /// Time after which the request fails with [`KvResponse::OutcomeUnknown`], in milliseconds.
        timeout_ms: u64,
    },
    /// Send a request to the cloud.
    CallCloud(CloudRequest),
    /// Send commands directly to a worker.
    SendDirectCommands(DirectCommands),
    /// Send a request to a peer.
    SendToPeer(ControllerName, PeerRequest),
    /// Respond to a peer.
    RespondToPeer(RequestId, PeerResponse),
}
