//! Updates of the metrics, and the response to a metrics request.

use crate::job_api::HttpResponse;
use crate::jobs::FinalStateEvidence;
use crate::metrics::{EvidenceLabel, EvidenceLabels, Metrics, QueueLabel, METRICS_CONTENT_TYPE};
use crate::scheduler::ClaimWriteOutcome;

use super::{Controller, WriteQueueId};

impl From<WriteQueueId> for QueueLabel {
    fn from(queue_id: WriteQueueId) -> QueueLabel {
        match queue_id {
            WriteQueueId::AttemptRecords => QueueLabel::AttemptRecords,
            WriteQueueId::LeaderPages => QueueLabel::LeaderPages,
            WriteQueueId::FinalWrites => QueueLabel::FinalWrites,
            WriteQueueId::SubmissionBatches => QueueLabel::SubmissionBatches,
        }
    }
}

impl Metrics {
    /// Counts an observed final state by its evidence.
    pub(super) fn count_final_state(&self, evidence: FinalStateEvidence) {
        let evidence = match evidence {
            FinalStateEvidence::Committed(_) => EvidenceLabel::Committed,
            FinalStateEvidence::Read(_) => EvidenceLabel::Read,
        };
        let labels = EvidenceLabels { evidence };
        self.final_states.get_or_create(&labels).inc();
    }

    /// Counts the outcome of a claim record's write by its evidence.
    pub(super) fn count_claim_write_outcome(&self, outcome: ClaimWriteOutcome) {
        let evidence = match outcome {
            ClaimWriteOutcome::Committed(_) => EvidenceLabel::Committed,
            ClaimWriteOutcome::Exists => EvidenceLabel::Exists,
            ClaimWriteOutcome::Deleted(_) => EvidenceLabel::Deleted,
        };
        let labels = EvidenceLabels { evidence };
        self.claim_records.get_or_create(&labels).inc();
    }
}

impl Controller {
    /// The response to a metrics request; updates the gauges first.
    pub(super) fn metrics_response(&self) -> HttpResponse {
        let token = i64::try_from(self.membership.epoch_number().0).unwrap_or(i64::MAX);
        self.metrics.fencing_token.set(token);
        let is_leader = self.leader.is_some();
        self.metrics.is_leader.set(i64::from(is_leader));
        match self.metrics.encode() {
            Ok(text) => HttpResponse::text(text, METRICS_CONTENT_TYPE),
            Err(error) => HttpResponse::error(500, &error.to_string()),
        }
    }
}
