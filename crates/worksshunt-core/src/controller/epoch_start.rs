//! Transition from loading to serving: builds the partition, and on the leader the scheduler and the fleet, from the
//! loaded records.

use worksshunt_wire::ControllerName;

use crate::fleet::Fleet;
use crate::machines::EpochStart;
use crate::membership::EpochRecord;
use crate::partitioning::partition_owner;
use crate::records::{self, AttemptRecord, RecordPage};
use crate::scheduler::{Scheduler, StoredState};
use crate::time::Time;

use super::{Controller, Leader, PartitionEpoch};

impl Controller {
    /// Starts serving after the last load step, and leading if this controller is the epoch's leader.
    pub(super) fn begin_serving(&mut self, now: Time) {
        let Some(epoch) = self.membership.epoch().cloned() else {
            return;
        };
        let mut load = std::mem::take(&mut self.epoch_load);
        let stale_record_pages = records::retain_latest_attempts(&mut load.record_pages);
        let owners = epoch.partition_owners();
        self.begin_partition(now, &epoch, &owners, &load.record_pages);
        if self.membership.is_leader() {
            let stored = StoredState {
                record_pages: load.record_pages,
                stale_record_pages,
                completion_pages: load.completion_pages,
                claims: load.claims,
                cancelled_jobs: load.cancelled_jobs,
            };
            self.begin_leading(now, &epoch, &owners, &stored, load.previous_fleet);
        }
        self.membership.start_serving();
    }

    fn begin_partition(
        &mut self,
        now: Time,
        epoch: &EpochRecord,
        owners: &[ControllerName],
        record_pages: &[RecordPage],
    ) {
        let own_name = self.membership.name();
        let previous_owners = self
            .partition_epoch
            .take()
            .filter(|previous| previous.number == epoch.previous_number())
            .map_or(Vec::new(), |previous| previous.owners);
        let records: Vec<AttemptRecord> = record_pages
            .iter()
            .flat_map(|page| page.records.clone())
            .collect();
        self.partition.begin_epoch(
            now,
            &EpochStart {
                epoch: epoch.number,
                fencing_tokens: epoch.fencing_tokens(),
                owner: own_name,
                records: &records,
                job_cache: &self.job_cache,
            },
            |machine| partition_owner(machine, owners) == Some(own_name),
            |machine| partition_owner(machine, &previous_owners) == Some(own_name),
        );
        self.partition_epoch = Some(PartitionEpoch {
            number: epoch.number,
            owners: owners.to_vec(),
        });
    }

    fn begin_leading(
        &mut self,
        now: Time,
        epoch: &EpochRecord,
        owners: &[ControllerName],
        stored: &StoredState,
        previous_fleet: Option<Fleet>,
    ) {
        let facts = &self.settings.facts;
        let mut scheduler =
            Scheduler::load(now, epoch.number, owners, facts, &self.job_cache, stored);
        let fleet = match previous_fleet {
            Some(fleet) if fleet.epoch() == epoch.previous_number() => {
                fleet.into_next_epoch(epoch.number)
            }
            _ => {
                let max_requests = self.capacity.provision_requests;
                Fleet::new(
                    epoch.number,
                    epoch.previous_number(),
                    now,
                    &facts.cloud,
                    &facts.workers,
                    max_requests,
                )
            }
        };
        scheduler.set_draining(fleet.draining_machines());
        if let Some(max_attempts) = self.attempt_limit {
            scheduler.limit_attempts(max_attempts);
        }
        self.leader = Some(Leader { scheduler, fleet });
        tracing::info!(
            epoch = %epoch.number,
            partition_owners = owners.len(),
            "leadership acquired; scheduling started"
        );
    }
}
