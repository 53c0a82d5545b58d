//! Counters and gauges of a controller: write conflicts, final job states, claim records, leadership and workers.
//!
//! The controller owns one [`Metrics`] and responds to `GET /metrics` with its encoding. Counters start at zero when
//! the process starts.

mod workers;

use prometheus_client::encoding::{text, EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

pub use workers::{
    CommandLabel, CommandLabels, DeliveryLabel, UnexpectedAttemptLabel, UnexpectedAttemptLabels,
    WorkerMetrics,
};

/// Content type of the encoded metrics, which are in the OpenMetrics text format.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Labels of a write conflict.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConflictLabels {
    /// Queue of the conflicting write.
    pub queue: QueueLabel,
    /// Whether all keys of the write had changed, as they have if an earlier copy of the write was applied.
    pub all_keys_changed: Flag,
}

/// Write queue as a label value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum QueueLabel {
    /// Attempt records of a partition.
    AttemptRecords,
    /// Pages of the leader.
    LeaderPages,
    /// Final job states, claims, and deletions of keys of previous epochs.
    FinalWrites,
    /// Splitting of submission batches into job keys.
    SubmissionBatches,
}

/// Boolean label value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Flag {
    /// `false`.
    No,
    /// `true`.
    Yes,
}

impl From<bool> for Flag {
    fn from(is_set: bool) -> Flag {
        match is_set {
            true => Flag::Yes,
            false => Flag::No,
        }
    }
}

/// Labels of final job states and of claim records.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EvidenceLabels {
    /// Evidence for the state of the record.
    pub evidence: EvidenceLabel,
}

/// Evidence for the state of a record, as a label value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum EvidenceLabel {
    /// The write of the record was committed.
    Committed,
    /// The record was read.
    Read,
    /// A write that required the key to be missing failed because it exists.
    Exists,
    /// The deletion of the record was committed.
    Deleted,
}

/// Metrics of one controller.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Writes that the key-value store refused because a condition did not hold.
    pub write_conflicts: Family<ConflictLabels, Counter>,
    /// Final job states that the controller has evidence for.
    pub final_states: Family<EvidenceLabels, Counter>,
    /// Claim records that the controller has evidence for.
    pub claim_records: Family<EvidenceLabels, Counter>,
    /// Jobs closed in the scheduler but open in the store that were reconciled.
    pub reconciled_jobs: Counter,
    /// Last fencing token of the controller's epoch; 0 before the first epoch.
    pub fencing_token: Gauge,
    /// 1 while the controller is the leader, else 0.
    pub is_leader: Gauge,
}

impl Metrics {
    /// Creates and registers all metrics with the value 0. Those of the workers belong to the partition.
    pub fn new(workers: &WorkerMetrics) -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("worksshunt"),
            write_conflicts: Family::default(),
            final_states: Family::default(),
            claim_records: Family::default(),
            reconciled_jobs: Counter::default(),
            fencing_token: Gauge::default(),
            is_leader: Gauge::default(),
        };
        metrics.register();
        workers.register(&mut metrics.registry);
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "write_conflicts",
            "Writes of the epoch that the key-value store refused",
            self.write_conflicts.clone(),
        );
        registry.register(
            "final_states",
            "Final states of jobs learnt, by what shows them",
            self.final_states.clone(),
        );
        registry.register(
            "claim_records",
            "Records of claims learnt, by what shows them",
            self.claim_records.clone(),
        );
        registry.register(
            "reconciled_jobs",
            "Jobs that the scheduler had closed and the store had not",
            self.reconciled_jobs.clone(),
        );
        registry.register(
            "fencing_token",
            "Fencing token that the controller acts under",
            self.fencing_token.clone(),
        );
        registry.register(
            "is_leader",
            "1 if the controller leads",
            self.is_leader.clone(),
        );
    }

    /// Encodes all metrics as OpenMetrics text.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoder fails.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut encoded = String::new();
        text::encode(&mut encoded, &self.registry)?;
        Ok(encoded)
    }
}
