//! Signals that start a planned stop.

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;

/// Registers handlers for SIGTERM and SIGINT; fails if the system rejects them.
pub fn signals() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}

/// Waits for the next signal.
pub async fn wait(signals: &mut Signals) {
    while let Some(signal) = signals.next().await {
        if signal.is_ok() {
            return;
        }
    }
}
