//! Sends the conditional writes of an epoch.
//!
//! Each write queue has at most one write in flight. It is conditional on the epoch, and on the version of every key
//! that a delayed copy of the write could damage. A write with an unknown outcome is repeated unchanged; the
//! conditions ensure that it is applied at most once.

use worksshunt_wire::key_value::CompareAndSwap;

use crate::time::Time;

use super::hedged_request::hedge_action;
use super::{call_store, Action, Controller, KvPurpose, KvRequest, WriteQueueId};

impl Controller {
    /// Sends the writes that are due, and the read of a page's version if one is unknown.
    pub(super) fn advance_write_queues(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.read_unknown_page_version(now, actions);
        self.advance_write_queue(WriteQueueId::AttemptRecords, now, actions);
        if self.leader.is_some() {
            self.advance_write_queue(WriteQueueId::FinalWrites, now, actions);
            self.advance_write_queue(WriteQueueId::LeaderPages, now, actions);
            self.advance_write_queue(WriteQueueId::SubmissionBatches, now, actions);
        }
    }

    /// Sends the next write of a queue, or repeats the one whose outcome is unknown.
    fn advance_write_queue(
        &mut self,
        queue_id: WriteQueueId,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        // Only attempt records are hedged, because launches wait for them.
        if queue_id == WriteQueueId::AttemptRecords {
            self.hedge_queued_write(queue_id, now, actions);
        }
        let queue = self.write_queues.queue(queue_id);
        if !queue.timer.is_due(now) {
            return;
        }
        let unfinished = queue.in_flight.clone();
        let Some(write) = unfinished.or_else(|| self.next_write(queue_id, now)) else {
            return;
        };
        self.write_queues
            .take_tokens(queue_id, write.changes.len(), now);
        let queue = self.write_queues.queue(queue_id);
        queue.in_flight = Some(write.clone());
        queue.timer.mark_sent(now, 0);
        let number = queue.hedge.start_write(now);
        let purpose = KvPurpose::QueuedWrite {
            queue: queue_id,
            epoch: self.membership.epoch_number(),
            number,
        };
        call_store(actions, purpose, KvRequest::CompareAndSwap(write));
    }

    /// Sends the second copy of the queue's write if its response is slow.
    fn hedge_queued_write(&mut self, queue_id: WriteQueueId, now: Time, actions: &mut Vec<Action>) {
        let queue = self.write_queues.queue(queue_id);
        if !queue.timer.is_in_flight {
            return;
        }
        if let (Some(number), Some(write)) = (queue.hedge.take_due_hedge(now), &queue.in_flight) {
            queue.change_tokens.take(write.changes.len());
            let purpose = KvPurpose::QueuedWrite {
                queue: queue_id,
                epoch: self.membership.epoch_number(),
                number,
            };
            actions.push(hedge_action(purpose, write));
        }
    }

    /// Builds the next write of the queue; `None` if there is nothing to write.
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
