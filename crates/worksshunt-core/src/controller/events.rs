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
    NewLease,
    /// Renew a lease.
    Renew(u64),
    /// Read one key.
    Get(String),
    /// Read all keys of a prefix.
    List(String),
    /// Write.
    Txn(Txn),
    /// Changes of a prefix after a revision; waits so many milliseconds for the first.
    Follow(String, Revision, u64),
}

/// The state service's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The lease granted.
    Lease(u64),
    /// The lease was renewed.
    Renewed,
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
    TooOld,
    /// Not executed: larger than the limits.
    TooLarge,
    /// Not executed.
    Refused,
    /// No answer that tells whether it was executed.
    Unknown,
}

impl StoreReply {
    /// Whether the state service has carried the request out, or said why it does not.
    pub(super) fn is_answer(&self) -> bool {
        !matches!(self, StoreReply::Refused | StoreReply::Unknown)
    }
}

/// What a state service request is for.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreTag {
    /// The controller's lease.
    NewLease,
    /// Its renewal.
    Renew(u64),
    /// The member key.
    Join,
    /// The control keys.
    Control,
    /// The next epoch.
    Propose,
    /// The first reading of the open jobs.
    Open,
    /// The long watch of the open jobs.
    Follow,
    /// The catch-up read of the open jobs.
    CatchUp,
    /// Records at the start of an epoch.
    Load(Epoch, Loading),
    /// How a job on record has ended, at the start of an epoch.
    LoadEnd(Epoch, JobId),
    /// A conditional write of an epoch, by its number in its lane.
    Write(Lane, Epoch, u64),
    /// A page whose version has become uncertain.
    Refresh(Epoch, String),
    /// A final state that questions had to be put off for.
    Learn(JobId),
    /// Submissions, by the number of their write.
    Accept(u64),
    /// A cancellation.
    Withdraw(Ask),
    /// A final state.
    Final(Ask),
    /// The catalogue as the service last knew it.
    Catalog,
    /// Keeping the catalogue.
    KeepCatalog(Catalog),
}

/// Which of an epoch's conditional writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lane {
    /// Machines' records of the own part.
    Records,
    /// Completions, and machines' records of former epochs (leader).
    Pages,
    /// Ends of jobs and claims (leader).
    Ends,
    /// Keys of their own for jobs taken in together (leader).
    Intake,
}

/// Steps of loading an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loading {
    /// The machines' records.
    Records,
    /// Completed tasks (leader).
    Done,
    /// Claims (leader).
    Claims,
    /// The open jobs, read after the records: a job on a record but not open is over.
    Mirror,
    /// How jobs on record that are over have ended, and what their tasks use (leader).
    Ends,
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
    Failed,
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
    Withdraw(RequestId, String),
    /// A health check.
    Health(RequestId),
    /// A worker's report.
    Report(RequestId, Vec<u8>),
    /// The state service answered a request sent at that time.
    Store(StoreTag, Time, StoreReply),
    /// The cloud answered.
    Cloud(CloudRequest, CloudReply),
    /// Direct orders to a worker were answered, or not.
    Ordered(DirectOrders, OrdersReply),
    /// A peer asks.
    Peer(RequestId, PeerRequest),
    /// A peer answered an exchange; none: it did not.
    PeerAnswer(Option<PeerAnswer>),
    /// A peer told whether it reaches the state service.
    PeerStore(bool),
    /// A peer told what it knows of the epoch.
    PeerEpoch(NodeName, KnownEpoch),
}

/// What a controller does.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Answer a client.
    Reply(RequestId, Reply),
    /// Ask the state service, within so many milliseconds.
    Store(StoreTag, StoreOp, u64),
    /// Ask the cloud.
    Cloud(CloudRequest),
    /// Send orders straight to a worker.
    Orders(DirectOrders),
    /// Ask a peer.
    Peer(NodeName, PeerRequest),
    /// Answer a peer.
    PeerReply(RequestId, PeerAnswer),
}
