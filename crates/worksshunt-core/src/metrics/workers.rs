//! Metrics of the workers: commands sent, attempts that workers should not have, and sizes of heartbeats.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use worksshunt_wire::worker::Command;

/// Upper bound of the smallest bucket of heartbeat sizes, bytes.
const SMALLEST_HEARTBEAT_BUCKET_BYTES: f64 = 256.0;
/// Number of buckets of heartbeat sizes, each twice the one before. The largest is the protocol's limit of 64 KiB.
const HEARTBEAT_BUCKETS: u16 = 9;

/// Labels of a command to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CommandLabels {
    /// The command.
    pub command: CommandLabel,
    /// How it was sent.
    pub delivery: DeliveryLabel,
}

/// Command as a label value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum CommandLabel {
    /// Starts an attempt.
    Launch,
    /// Stops an attempt.
    Halt,
    /// Removes an ended attempt from the heartbeats.
    Reap,
}

impl From<&Command> for CommandLabel {
    fn from(command: &Command) -> CommandLabel {
        match command {
            Command::Launch { .. } => CommandLabel::Launch,
            Command::Halt { .. } => CommandLabel::Halt,
            Command::Reap { .. } => CommandLabel::Reap,
        }
    }
}

/// How a command was sent, as a label value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum DeliveryLabel {
    /// To the worker's address.
    Direct,
    /// In the response to a heartbeat.
    Response,
}

/// Labels of an attempt that a worker lists and should not have.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UnexpectedAttemptLabels {
    /// Why it is unexpected.
    pub reason: UnexpectedAttemptLabel,
}

/// Why an attempt is unexpected, as a label value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum UnexpectedAttemptLabel {
    /// It was reaped on this machine, and a later message did not list it.
    Reaped,
    /// It has not ended, and this owner does not know it or has treated it as ended.
    Untracked,
}

/// Metrics of the workers of one controller. A clone shares its counters with the original.
#[derive(Debug, Clone)]
pub struct WorkerMetrics {
    commands: Family<CommandLabels, Counter>,
    /// Attempts listed by workers that should not have them.
    unexpected_attempts: Family<UnexpectedAttemptLabels, Counter>,
    /// Reaps of ended attempts that were not sent with a heartbeat's response because direct commands were in flight.
    pub reaps_held: Counter,
    heartbeat_bytes: Histogram,
}

impl Default for WorkerMetrics {
    fn default() -> WorkerMetrics {
        let buckets = exponential_buckets(SMALLEST_HEARTBEAT_BUCKET_BYTES, 2.0, HEARTBEAT_BUCKETS);
        WorkerMetrics {
            commands: Family::default(),
            unexpected_attempts: Family::default(),
            reaps_held: Counter::default(),
            heartbeat_bytes: Histogram::new(buckets),
        }
    }
}

impl WorkerMetrics {
    /// Registers the metrics for encoding.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "commands",
            "Commands sent to workers, by command and way",
            self.commands.clone(),
        );
        registry.register(
            "unexpected_attempts",
            "Attempts that workers list although they were reaped there or are not known",
            self.unexpected_attempts.clone(),
        );
        registry.register(
            "reaps_held",
            "Reaps not sent with a response because direct commands were in flight",
            self.reaps_held.clone(),
        );
        registry.register_with_unit(
            "heartbeat_size",
            "Sizes of received heartbeats",
            Unit::Bytes,
            self.heartbeat_bytes.clone(),
        );
    }

    /// Counts a command that is sent to a worker.
    pub fn count_command(&self, command: &Command, delivery: DeliveryLabel) {
        let command = CommandLabel::from(command);
        let labels = CommandLabels { command, delivery };
        self.commands.get_or_create(&labels).inc();
    }

    /// Counts an attempt that a worker lists and should not have.
    pub fn count_unexpected_attempt(&self, reason: UnexpectedAttemptLabel) {
        let labels = UnexpectedAttemptLabels { reason };
        self.unexpected_attempts.get_or_create(&labels).inc();
    }

    /// Number of attempts that workers listed and should not have had.
    pub fn unexpected_attempt_count(&self, reason: UnexpectedAttemptLabel) -> u64 {
        let labels = UnexpectedAttemptLabels { reason };
        self.unexpected_attempts.get_or_create(&labels).get()
    }

    /// Records the size of a heartbeat's body, bytes.
    pub fn record_heartbeat_size(&self, bytes: usize) {
        self.heartbeat_bytes.observe(bytes as f64);
    }
}
