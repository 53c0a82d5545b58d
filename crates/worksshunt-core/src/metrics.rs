//! Counters and gauges for operators: what controllers concluded about their writes, and from what.
//!
//! The controller owns one [`Metrics`] and answers `GET /metrics` with its text. Counters start at zero with the process.

use prometheus_client::encoding::{text, EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Content type of the text, which is in the OpenMetrics form of Prometheus' text format.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Labels of the write conflicts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConflictLabels {
    /// The write queue.
    pub queue: QueueLabel,
    /// Whether all keys of the write had changed, as after an earlier copy of it.
    pub all_keys_changed: Flag,
}

/// A write queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum QueueLabel {
    /// Attempt records of a partition.
    AttemptRecords,
    /// Pages of the leader.
    LeaderPages,
    /// Ends of jobs and claims.
    FinalWrites,
    /// Keys for jobs of submission batches.
    SubmissionBatches,
}

/// Yes or no.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Flag {
    /// No.
    No,
    /// Yes.
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

/// Labels of the final states learnt and of the claim records learnt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EvidenceLabels {
    /// What shows it.
    pub evidence: EvidenceLabel,
}

/// What shows the state of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum EvidenceLabel {
    /// A write was committed.
    Committed,
    /// The key was read.
    Read,
    /// A write that expected the key to be missing found it.
    Exists,
    /// The deletion was committed.
    Deleted,
}

/// The counters and gauges of one controller.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Writes of the epoch that the key-value store refused.
    pub write_conflicts: Family<ConflictLabels, Counter>,
    /// Final states of jobs learnt.
    pub final_states: Family<EvidenceLabels, Counter>,
    /// Records of claims learnt.
    pub claim_records: Family<EvidenceLabels, Counter>,
    /// Jobs that the scheduler had closed and the store had not.
    pub reconciled_jobs: Counter,
    /// Fencing token that the controller acts under; 0 before any.
    pub fencing_token: Gauge,
    /// 1 if the controller leads.
    pub is_leader: Gauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// All at zero.
    pub fn new() -> Metrics {
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

    /// All of them as text.
    ///
    /// # Errors
    ///
    /// The text could not be written.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut encoded = String::new();
        text::encode(&mut encoded, &self.registry)?;
        Ok(encoded)
    }
}
