//! Signals that ask for a planned stop.

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;

/// Registers for SIGTERM and SIGINT.
pub fn signals() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}

/// Waits for the first signal.
pub async fn wait(signals: &mut Signals) {
    while let Some(signal) = signals.next().await {
        if signal.is_ok() {
            return;
        }
    }
}
