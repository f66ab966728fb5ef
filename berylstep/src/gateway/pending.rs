//! Requests to other nodes by datagram that wait for their replies.

use std::cell::{Cell, RefCell};

use berylstep_core::collections::HashMap;
use smol::channel::{bounded, Receiver, Sender};

/// Requests that have not been answered, by number.
#[derive(Debug)]
pub struct PendingReplies<T> {
    waiting: RefCell<HashMap<u64, Sender<T>>>,
    next: Cell<u64>,
}

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self { waiting: RefCell::default(), next: Cell::new(0) }
    }
}

/// A request that waits for its replies; it is withdrawn when dropped.
#[derive(Debug)]
pub struct PendingReply<'a, T> {
    pending: &'a PendingReplies<T>,
    receiver: Receiver<T>,
    /// Number of the request.
    pub request: u64,
}

impl<T> PendingReplies<T> {
    /// Registers a request that expects up to `replies` replies.
    pub fn register(&self, replies: usize) -> PendingReply<'_, T> {
        self.register_as(self.next.replace(self.next.get() + 1), replies)
    }

    /// Registers a request under a number of the caller's own.
    pub fn register_as(&self, request: u64, replies: usize) -> PendingReply<'_, T> {
        let (sender, receiver) = bounded(replies.max(1));
        self.waiting.borrow_mut().insert(request, sender);
        PendingReply { pending: self, receiver, request }
    }

    /// Passes a reply on; returns whether its request still waits for it.
    pub fn deliver(&self, request: u64, reply: T) -> bool {
        let waiting = self.waiting.borrow();
        waiting.get(&request).is_some_and(|sender| sender.try_send(reply).is_ok())
    }
}

impl<T> PendingReply<'_, T> {
    /// Waits for the next reply.
    pub async fn receive(&self) -> Option<T> {
        self.receiver.recv().await.ok()
    }
}

impl<T> Drop for PendingReply<'_, T> {
    fn drop(&mut self) {
        self.pending.waiting.borrow_mut().remove(&self.request);
    }
}
