//! Counts of the traffic between the members of a cluster, and how long controllers took to handle events. The cluster
//! counts; measurements and the scale scenarios read and reset.

use std::collections::BTreeMap;
use std::time::Duration;

use worksshunt_core::controller::Event;
use worksshunt_wire::key_value::{Change, CompareAndSwap};
use worksshunt_wire::peer::PeerRequest;
use worksshunt_wire::worker::Command;

/// Counts since the last reset, and what controllers took for each kind of event.
#[derive(Debug, Default)]
pub struct ResourceUsage {
    /// Whether bytes are counted too, which costs as much as sending them.
    pub bytes: bool,
    /// Requests to the key-value store.
    pub requests: u64,
    /// Keys changed by transactions that were sent.
    pub changes: u64,
    /// Bytes of values in them.
    pub value_bytes: u64,
    /// Requests that the key-value store or the cloud refused for their rate.
    pub refused: u64,
    /// Sync requests of partition owners to the leader.
    pub syncs: u64,
    /// Bytes of them.
    pub sync_bytes: u64,
    /// Bytes of the largest of them.
    pub max_sync_bytes: usize,
    /// Frames that were too large for the link.
    pub frames_dropped: u64,
    /// Calls of the cloud, each page of a list counted.
    pub cloud_calls: u64,
    /// Requests with direct commands to workers.
    pub command_requests: u64,
    /// Launch commands, sent directly and in responses to heartbeats.
    pub launches: u64,
    /// Halt commands, sent directly and in responses to heartbeats.
    pub halts: u64,
    /// Time taken by kind of event, if it is measured.
    pub took: Option<BTreeMap<&'static str, Vec<Duration>>>,
}

impl ResourceUsage {
    /// Sets all counts to zero.
    pub fn reset(&mut self) {
        *self = ResourceUsage {
            bytes: self.bytes,
            took: self.took.as_ref().map(|_| BTreeMap::new()),
            ..ResourceUsage::default()
        };
    }

    /// The kind of an event, by which [`ResourceUsage::took`] is sorted.
    pub(crate) fn kind(event: &Event) -> &'static str {
        match event {
            Event::Tick => "tick",
            Event::Heartbeat { .. } => "report",
            Event::PeerRequest(_, PeerRequest::Sync(_)) | Event::PeerResponse(_) => "sync",
            Event::KeyValueResponse { .. } => "state service",
            Event::CloudResponse(..) => "cloud",
            Event::DirectCommandsOutcome(..) => "orders",
            Event::Submit { .. } | Event::Status { .. } | Event::Cancel { .. } => "user",
            _ => "other",
        }
    }

    pub(crate) fn write(&mut self, write: &CompareAndSwap) {
        self.changes += write.changes.len() as u64;
        if !self.bytes {
            return;
        }
        for change in &write.changes {
            if let Change::Put { value, .. } = change {
                self.value_bytes += value.to_string().len() as u64;
            }
        }
    }

    /// Counts a sync request and returns its size, bytes.
    pub(crate) fn sync(&mut self, request: &PeerRequest) -> usize {
        self.syncs += 1;
        let bytes = borsh::to_vec(request).map_or(usize::MAX, |frame| frame.len());
        self.sync_bytes += bytes as u64;
        self.max_sync_bytes = self.max_sync_bytes.max(bytes);
        bytes
    }

    pub(crate) fn commands(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Launch { .. } => self.launches += 1,
                Command::Halt { .. } => self.halts += 1,
                Command::Reap { .. } => {}
            }
        }
    }
}
