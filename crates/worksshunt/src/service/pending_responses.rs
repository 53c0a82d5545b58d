//! Requests of clients and peers that the controller has not answered yet.
//!
//! A connection's task waits here for the response while the controller works on the request; the service hands the
//! response over when the controller returns it as an action.

use std::cell::RefCell;
use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use worksshunt_core::job_api::RequestId;

/// The tasks that wait for a response, by the id of their request.
pub struct PendingResponses<T> {
    senders: RefCell<BTreeMap<RequestId, Sender<T>>>,
}

impl<T> PendingResponses<T> {
    /// None are pending.
    pub fn new() -> PendingResponses<T> {
        PendingResponses {
            senders: RefCell::new(BTreeMap::new()),
        }
    }

    /// Registers a request; its response can be received from the channel.
    pub fn register(&self, request: RequestId) -> Receiver<T> {
        let (sender, receiver) = async_channel::bounded(1);
        self.senders.borrow_mut().insert(request, sender);
        receiver
    }

    /// Hands a response to the task that waits for it, if it still does.
    pub fn complete(&self, request: RequestId, response: T) {
        if let Some(sender) = self.senders.borrow_mut().remove(&request) {
            // It fails only if the connection has ended.
            let _ = sender.try_send(response);
        }
    }
}
