//! Requests of clients and peers that the controller has not answered yet.
//!
//! The task of a connection waits for the response while the controller processes the request. The service completes
//! the request when the controller returns the response as an action.

use std::cell::RefCell;
use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use worksshunt_core::job_api::RequestId;

/// Channels to the tasks that wait for a response, by request id.
pub struct PendingResponses<T> {
    senders: RefCell<BTreeMap<RequestId, Sender<T>>>,
}

impl<T> PendingResponses<T> {
    /// Creates an empty set.
    pub fn new() -> PendingResponses<T> {
        PendingResponses {
            senders: RefCell::new(BTreeMap::new()),
        }
    }

    /// Registers a request and returns the channel that receives its response.
    pub fn register(&self, request: RequestId) -> Receiver<T> {
        let (sender, receiver) = async_channel::bounded(1);
        self.senders.borrow_mut().insert(request, sender);
        receiver
    }

    /// Sends a response to the task that waits for it, if the connection is still open.
    pub fn complete(&self, request: RequestId, response: T) {
        if let Some(sender) = self.senders.borrow_mut().remove(&request) {
            // Fails only if the connection was closed.
            let _ = sender.try_send(response);
        }
    }
}
