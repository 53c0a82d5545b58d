//! What happens to a controller and what it does.

use worksshunt_wire::cloud::{Catalog, MachineList, MachineNames};
use worksshunt_wire::peer::{KnownEpoch, PeerAnswer, PeerRequest};
use worksshunt_wire::state::{Changes, Listing, Pair, Txn};
use worksshunt_wire::{Epoch, JobId, NodeName, Revision};

use crate::fleet::CloudRequest;
use crate::machines::{DirectOrders, OrdersReply};
use crate::time::Time;
use crate::users::{Ask, Reply, RequestId};

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOp {
    /// A new lease.
    GrantLease,
    /// Renew a lease.
    RenewLease(u64),
    /// Read one key.
    Get(String),
    /// Read all keys of a prefix.
    List(String),
    /// Write.
    Txn(Txn),
    /// Changes of a prefix after a revision; waits so many milliseconds for the first.
    Watch(String, Revision, u64),
}

/// The state service's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The lease granted.
    LeaseGranted(u64),
    /// The lease was renewed.
    LeaseRenewed,
    /// There is no such lease.
    NoSuchLease,
    /// A key's value.
    Found(Pair),
    /// There is no such key.
    Missing,
    /// All keys of the prefix, at the revision of the first page.
    Listing(Listing),
    /// The transaction was applied.
    Committed(Revision),
    /// Conditions of the transaction did not hold.
    Conflict(Vec<String>),
    /// The changes.
    Changes(Changes),
    /// The revision lies too far back.
    RevisionCompacted,
    /// Not executed: larger than the limits.
    TooLarge,
    /// Not executed.
    Refused,
    /// No answer that tells whether it was executed.
    NoAnswer,
}

impl StoreReply {
    /// Whether the state service has carried the request out, or said why it does not.
    pub(super) fn is_answer(&self) -> bool {
        !matches!(self, StoreReply::Refused | StoreReply::NoAnswer)
    }
}

/// What a state service request is for.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreTag {
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
    LoadEpoch(Epoch, Loading),
    /// How a job on record has ended, at the start of an epoch.
    LoadFinalState(Epoch, JobId),
    /// A conditional write of an epoch, by its number in its lane.
    QueuedWrite(Lane, Epoch, u64),
    /// A page whose version has become uncertain.
    ReadPageVersion(Epoch, String),
    /// A final state that questions had to be put off for.
    LookUpFinalState(JobId),
    /// Submissions, by the number of their write.
    AcceptSubmissions(u64),
    /// A cancellation.
    CancelJob(Ask),
    /// A final state.
    ReadFinalState(Ask),
    /// The catalogue as the service last knew it.
    ReadCatalog,
    /// Keeping the catalogue.
    StoreCatalog(Catalog),
}

/// Which of an epoch's conditional writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lane {
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
pub enum Loading {
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
pub enum CloudReply {
    /// Machines rented, or returned.
    Machines(MachineNames),
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
    KeyValueResponse(StoreTag, Time, StoreReply),
    /// The cloud answered.
    CloudResponse(CloudRequest, CloudReply),
    /// Direct orders to a worker were answered, or not.
    CommandsAnswered(DirectOrders, OrdersReply),
    /// A peer asks.
    PeerRequest(RequestId, PeerRequest),
    /// A peer answered an exchange; none: it did not.
    PeerResponse(Option<PeerAnswer>),
    /// A peer told whether it reaches the state service.
    PeerKeyValueHealth(bool),
    /// A peer told what it knows of the epoch.
    PeerKnownEpoch(NodeName, KnownEpoch),
}

/// What a controller does.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Answer a client.
    Respond(RequestId, Reply),
    /// Ask the state service, within so many milliseconds.
    CallKeyValueStore(StoreTag, StoreOp, u64),
    /// Ask the cloud.
    CallCloud(CloudRequest),
    /// Send orders straight to a worker.
    SendCommands(DirectOrders),
    /// Ask a peer.
    SendToPeer(NodeName, PeerRequest),
    /// Answer a peer.
    RespondToPeer(RequestId, PeerAnswer),
}
