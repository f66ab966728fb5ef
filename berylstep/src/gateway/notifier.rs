//! Wakes a task early that otherwise looks at fixed times.

use std::time::Duration;

use smol::channel::{bounded, Receiver, Sender};

use crate::clock::RuntimeClock;

/// Rung where something has changed; one waiting task hears it.
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
    /// Wakes the task that waits, or the next one that does.
    pub fn notify(&self) {
        if self.sender.try_send(()).is_err() {
            // A ring that was not heard yet stands for this one too.
        }
    }

    /// Waits for a ring, but for no longer than `longest`.
    pub async fn wait(&self, clock: &RuntimeClock, longest: Duration) {
        clock.timeout(longest, self.receiver.recv()).await;
    }
}
