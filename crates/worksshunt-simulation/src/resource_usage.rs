//! What passes between the members of a cluster, counted.

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
    /// Requests to the state service.
    pub requests: u64,
    /// Keys changed by transactions that were sent.
    pub changes: u64,
    /// Bytes of values in them.
    pub value_bytes: u64,
    /// Requests that the state service or the cloud refused for their rate.
    pub refused: u64,
    /// Exchanges between owners and the leader.
    pub syncs: u64,
    /// Bytes of their requests.
    pub sync_bytes: u64,
    /// The largest of them.
    pub sync_most: usize,
    /// Frames that were too large for the link.
    pub frames_dropped: u64,
    /// Calls of the cloud, each page of a list counted.
    pub cloud_calls: u64,
    /// Direct orders to workers.
    pub orders: u64,
    /// Launches, stops and reaps, in orders and in answers.
    pub launches: u64,
    /// Stops among them.
    pub halts: u64,
    /// Time taken by kind of event, if it is measured.
    pub took: Option<BTreeMap<&'static str, Vec<Duration>>>,
}

impl ResourceUsage {
    /// Starts anew.
    pub fn reset(&mut self) {
        *self = ResourceUsage {
            bytes: self.bytes,
            took: self.took.as_ref().map(|_| BTreeMap::new()),
            ..ResourceUsage::default()
        };
    }

    /// The kind of an event, as times are sorted by.
    pub(crate) fn kind(event: &Event) -> &'static str {
        match event {
            Event::Tick => "tick",
            Event::Heartbeat(..) => "report",
            Event::PeerRequest(_, PeerRequest::Sync(_)) | Event::PeerResponse(_) => "sync",
            Event::KeyValueResponse(..) => "state service",
            Event::CloudResponse(..) => "cloud",
            Event::CommandsAnswered(..) => "orders",
            Event::Submit(..) | Event::Status(..) | Event::Cancel(..) => "user",
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

    /// Counts an exchange; its bytes.
    pub(crate) fn sync(&mut self, request: &PeerRequest) -> usize {
        self.syncs += 1;
        let bytes = borsh::to_vec(request).map_or(usize::MAX, |frame| frame.len());
        self.sync_bytes += bytes as u64;
        self.sync_most = self.sync_most.max(bytes);
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
