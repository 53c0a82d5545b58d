//! Traffic counts and event handling times of a cluster. Measurements and the scale scenarios read and reset them.

use std::collections::BTreeMap;
use std::time::Duration;

use worksshunt_core::controller::Event;
use worksshunt_wire::key_value::{Change, CompareAndSwap};
use worksshunt_wire::peer::PeerRequest;
use worksshunt_wire::worker::Command;

/// Traffic counts and event handling times since the last reset.
#[derive(Debug, Default)]
pub struct ResourceUsage {
    /// Whether `value_bytes` is counted; requires serializing every value.
    pub counts_bytes: bool,
    /// Requests that arrived at the key-value store.
    pub key_value_requests: u64,
    /// Keys changed by these requests, whether or not they were applied.
    pub changed_keys: u64,
    /// Bytes of the values written by these requests.
    pub value_bytes: u64,
    /// Requests refused by the rate limits of the key-value store or the cloud.
    pub refused_requests: u64,
    /// Sync requests of partition owners to the leader.
    pub sync_requests: u64,
    /// Total size of the sync requests, bytes.
    pub sync_bytes: u64,
    /// Size of the largest sync request, bytes.
    pub max_sync_bytes: usize,
    /// Sync requests above the maximum frame size, which the receiver rejects.
    pub frames_dropped: u64,
    /// Calls to the cloud; each page of a list counts as one.
    pub cloud_calls: u64,
    /// Direct command requests to workers.
    pub command_requests: u64,
    /// Launch commands, sent directly and in responses to heartbeats.
    pub launches: u64,
    /// Halt commands, sent directly and in responses to heartbeats.
    pub halts: u64,
    /// Handling time of each event, by kind of event; `None` if not measured.
    pub handling_times: Option<BTreeMap<&'static str, Vec<Duration>>>,
}

impl ResourceUsage {
    /// Resets all counts and times. Keeps which of them are recorded.
    pub fn reset(&mut self) {
        *self = ResourceUsage {
            counts_bytes: self.counts_bytes,
            handling_times: self.handling_times.as_ref().map(|_| BTreeMap::new()),
            ..ResourceUsage::default()
        };
    }

    /// Returns the kind of an event, the key of [`ResourceUsage::handling_times`]. Names of measurements in results
    /// files begin with it, so it must not change.
    pub(crate) fn event_kind(event: &Event) -> &'static str {
        match event {
            Event::Tick => "tick",
            Event::Heartbeat { .. } => "report",
            Event::PeerRequest(_, PeerRequest::Sync(_)) | Event::PeerSyncResponse(_) => "sync",
            Event::KeyValueResponse { .. } => "state service",
            Event::CloudResponse(..) => "cloud",
            Event::DirectCommandsOutcome(..) => "orders",
            Event::Submit { .. } | Event::Status { .. } | Event::Cancel { .. } => "user",
            _ => "other",
        }
    }

    pub(crate) fn count_write(&mut self, write: &CompareAndSwap) {
        self.changed_keys += write.changes.len() as u64;
        if !self.counts_bytes {
            return;
        }
        for change in &write.changes {
            if let Change::Put { value, .. } = change {
                self.value_bytes += value.to_string().len() as u64;
            }
        }
    }

    /// Counts a sync request and returns its size, bytes.
    pub(crate) fn count_sync(&mut self, request: &PeerRequest) -> usize {
        self.sync_requests += 1;
        let bytes = borsh::to_vec(request).map_or(usize::MAX, |frame| frame.len());
        self.sync_bytes += bytes as u64;
        self.max_sync_bytes = self.max_sync_bytes.max(bytes);
        bytes
    }

    pub(crate) fn count_commands(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Launch { .. } => self.launches += 1,
                Command::Halt { .. } => self.halts += 1,
                Command::Reap { .. } => {}
            }
        }
    }
}
