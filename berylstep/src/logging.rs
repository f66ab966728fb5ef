//! Log output: one line an event, on standard error.

use env_logger::{Builder, Env};

/// Variable that holds the log filter.
const LOG_VARIABLE: &str = "BERYLSTEP_LOG";

const DEFAULT_FILTER: &str = "info";

/// Starts the logger; the filter is that of `env_logger`.
pub fn initialize() {
    let env = Env::new().filter_or(LOG_VARIABLE, DEFAULT_FILTER);
    Builder::from_env(env).format_timestamp_millis().init();
}
