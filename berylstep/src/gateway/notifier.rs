//! Wakes a polling task before its interval has passed.

use std::time::Duration;

use smol::channel::{bounded, Receiver, Sender};

use crate::clock::RuntimeClock;

/// Notification of a change, delivered to one waiting task.
#[derive(Debug)]
pub struct ChangeNotifier {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for ChangeNotifier {
    fn default() -> Self {
        let (sender, receiver) = bounded(1);
        Self { sender, receiver }
    }
}

impl ChangeNotifier {
    /// Wakes the waiting task, or the next task that waits.
    pub fn notify(&self) {
        if self.sender.try_send(()).is_err() {
            // A pending notification covers this one.
        }
    }

    /// Waits for a notification, for at most `timeout`.
    pub async fn wait(&self, clock: &RuntimeClock, timeout: Duration) {
        clock.timeout(timeout, self.receiver.recv()).await;
    }
}
