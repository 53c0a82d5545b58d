//! What happens to a controller and what it does.

use worksshunt_wire::cloud::{Catalog, MachineIds, MachineList};
use worksshunt_wire::key_value::{CompareAndSwap, KeyValue, Listing, WatchResponse};
use worksshunt_wire::peer::{KnownEpoch, PeerRequest, PeerResponse};
use worksshunt_wire::{ControllerName, Epoch, JobId, Revision};

use crate::fleet::CloudRequest;
use crate::job_api::{HttpResponse, JobRequest, RequestId};
use crate::machines::{DirectCommands, DirectCommandsOutcome};
use crate::time::Time;

/// A request to the state service.
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
    /// Write.
    CompareAndSwap(CompareAndSwap),
    /// Changes of a prefix after a revision; waits so many milliseconds for the first.
    Watch(String, Revision, u64),
}

/// The state service's answer.
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
    /// The transaction was applied.
    Committed(Revision),
    /// Conditions of the transaction did not hold.
    Conflict(Vec<String>),
    /// The changes.
    WatchResponse(WatchResponse),
    /// The revision lies too far back.
    RevisionCompacted,
    /// Not executed: larger than the limits.
    TooLarge,
    /// Not executed.
    Refused,
    /// No answer that tells whether it was executed.
    NoAnswer,
}

impl KvResponse {
    /// Whether the state service has carried the request out, or said why it does not.
    pub(super) fn is_definite(&self) -> bool {
        !matches!(self, KvResponse::Refused | KvResponse::NoAnswer)
    }
}

/// What a state service request is for.
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
    /// Records at the start of an epoch.
    LoadEpoch(Epoch, LoadStep),
    /// How a job on record has ended, at the start of an epoch.
    LoadFinalState(Epoch, JobId),
    /// A conditional write of an epoch, by its number in its lane.
    QueuedWrite(WriteQueueId, Epoch, u64),
    /// A page whose version has become uncertain.
    ReadPageVersion(Epoch, String),
    /// A final state that questions had to be put off for.
    LookUpFinalState(JobId),
    /// Submissions, by the number of their write.
    AcceptSubmissions(u64),
    /// A cancellation.
    CancelJob(JobRequest),
    /// A final state.
    ReadFinalState(JobRequest),
    /// The catalogue as the service last knew it.
    ReadCatalog,
    /// Keeping the catalogue.
    StoreCatalog(Catalog),
}

/// Which of an epoch's conditional writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteQueueId {
    /// Machines' records of the own part.
    AttemptRecords,
    /// Completions, and machines' records of former epochs (leader).
    LeaderPages,
    /// Ends of jobs and claims (leader).
    FinalWrites,
    /// Keys of their own for jobs taken in together (leader).
    SubmissionBatches,
}

/// Steps of loading an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadStep {
    /// The machines' records.
    AttemptRecords,
    /// Completed tasks (leader).
    Completions,
    /// Claims (leader).
    Claims,
    /// The open jobs, read after the records: a job on a record but not open is over.
    OpenJobs,
    /// How jobs on record that are over have ended, and what their tasks use (leader).
    FinalStates,
}

/// The cloud's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudResponse {
    /// Machines rented, or returned.
    Machines(MachineIds),
    /// None to be had.
    NoCapacity,
    /// The machine list.
    List(Vec<MachineList>),
    /// The catalogue.
    Catalog(Catalog),
    /// No answer that helps.
    NoAnswer,
}

/// What happens to a controller.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A submission.
    Submit(RequestId, Vec<u8>),
    /// A question about a job; the id as the user wrote it.
    Status(RequestId, String),
    /// A cancellation.
    Cancel(RequestId, String),
    /// A health check.
    Health(RequestId),
    /// A worker's report.
    Heartbeat(RequestId, Vec<u8>),
    /// The state service answered a request sent at that time.
    KeyValueResponse(KvPurpose, Time, KvResponse),
    /// The cloud answered.
    CloudResponse(CloudRequest, CloudResponse),
    /// Direct orders to a worker were answered, or not.
    CommandsAnswered(DirectCommands, DirectCommandsOutcome),
    /// A peer asks.
    PeerRequest(RequestId, PeerRequest),
    /// A peer answered an exchange; none: it did not.
    PeerResponse(Option<PeerResponse>),
    /// A peer told whether it reaches the state service.
    PeerKeyValueHealth(bool),
    /// A peer told what it knows of the epoch.
    PeerKnownEpoch(ControllerName, KnownEpoch),
}

/// What a controller does.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Answer a client.
    Respond(RequestId, HttpResponse),
    /// Ask the state service, within so many milliseconds.
    CallKeyValueStore(KvPurpose, KvRequest, u64),
    /// Ask the cloud.
    CallCloud(CloudRequest),
    /// Send orders straight to a worker.
    SendCommands(DirectCommands),
    /// Ask a peer.
    SendToPeer(ControllerName, PeerRequest),
    /// Answer a peer.
    RespondToPeer(RequestId, PeerResponse),
}
