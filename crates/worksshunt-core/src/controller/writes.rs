//! Sending an epoch's conditional writes.
//!
//! Each write queue has one write in flight, conditional on the epoch and on the version of every key it changes
//! where a late copy could do harm. A write without a clear outcome is repeated unchanged: whatever happens to its
//! copies, it is applied once or never.

use worksshunt_wire::key_value::CompareAndSwap;

use crate::time::Time;

use super::hedged_request::second_copy;
use super::{call_store, Action, Controller, KvPurpose, KvRequest, WriteQueueId};

impl Controller {
    /// Sends what has to be written now.
    pub(super) fn advance_write_queues(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.read_uncertain_page(now, actions);
        self.advance_write_queue(WriteQueueId::AttemptRecords, now, actions);
        if self.leader.is_some() {
            self.advance_write_queue(WriteQueueId::FinalWrites, now, actions);
            self.advance_write_queue(WriteQueueId::LeaderPages, now, actions);
            self.advance_write_queue(WriteQueueId::SubmissionBatches, now, actions);
        }
    }

    fn advance_write_queue(
        &mut self,
        queue_id: WriteQueueId,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        // Launches wait for records. The other queues can wait.
        if queue_id == WriteQueueId::AttemptRecords {
            self.hedge_queued_write(queue_id, now, actions);
        }
        let queue = self.write_queues.queue(queue_id);
        if !queue.timer.is_due(now) {
            return;
        }
        let unanswered = queue.in_flight.clone();
        let Some(write) = unanswered.or_else(|| self.next_write(queue_id, now)) else {
            return;
        };
        self.write_queues.charge(queue_id, write.changes.len(), now);
        let queue = self.write_queues.queue(queue_id);
        queue.in_flight = Some(write.clone());
        queue.timer.mark_sent(now, 0);
        let number = queue.hedge.first_sent(now);
        let purpose = KvPurpose::QueuedWrite {
            queue: queue_id,
            epoch: self.membership.fencing_token(),
            number,
        };
        call_store(actions, purpose, KvRequest::CompareAndSwap(write));
    }

    /// Sends a second copy of the queue's write, if its response is slow.
    fn hedge_queued_write(&mut self, queue_id: WriteQueueId, now: Time, actions: &mut Vec<Action>) {
        let queue = self.write_queues.queue(queue_id);
        if !queue.timer.in_flight {
            return;
        }
        if let (Some(number), Some(write)) = (queue.hedge.hedge_due(now), &queue.in_flight) {
            queue.change_tokens.take(write.changes.len());
            let purpose = KvPurpose::QueuedWrite {
                queue: queue_id,
                epoch: self.membership.fencing_token(),
                number,
            };
            actions.push(second_copy(purpose, write));
        }
    }

    /// What the queue has to write, if anything.
    fn next_write(&mut self, queue_id: WriteQueueId, now: Time) -> Option<CompareAndSwap> {
        let epoch = self.membership.epoch_condition()?;
        let mut write = CompareAndSwap {
            expected: vec![epoch],
            changes: Vec::new(),
        };
        match queue_id {
            WriteQueueId::AttemptRecords => self.add_record_writes(now, &mut write),
            WriteQueueId::LeaderPages => self.add_leader_page_writes(now, &mut write),
            WriteQueueId::FinalWrites => self.add_final_writes(now, &mut write),
            WriteQueueId::SubmissionBatches => self.add_submission_batch_writes(now, &mut write),
        }
        (!write.changes.is_empty()).then_some(write)
    }
}
