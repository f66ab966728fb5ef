//! Log output: one line an event.

use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target};
use rustix::event::{poll, PollFd, PollFlags, Timespec};

/// Variable that holds the log filter.
const LOG_VARIABLE: &str = "BERYLSTEP_LOG";

const DEFAULT_FILTER: &str = "info";

/// Bytes of log output a second beyond which lines are left out; a busy node writes about 20 KB.
const BYTES_PER_SECOND: usize = 64 * 1024;

/// Longest line that is written: a pipe takes that many bytes without blocking when it is writable
/// at all.
const MAX_LINE_BYTES: usize = 4096;

const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// Starts the logger on standard error; the filter is that of `env_logger`.
pub fn initialize() {
    let env = Env::new().filter_or(LOG_VARIABLE, DEFAULT_FILTER);
    Builder::from_env(env).format_timestamp_millis().init();
}

/// Starts the logger of `key=value` lines on standard output, which never blocks and is bounded.
pub fn initialize_lines() {
    let env = Env::new().filter_or(LOG_VARIABLE, DEFAULT_FILTER);
    let sink = BoundedSink::default();
    let mut builder = Builder::from_env(env);
    builder.target(Target::Pipe(Box::new(sink)));
    builder.format(|buffer, record| {
        let time = buffer.timestamp_millis();
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(buffer, "time={time} level={level} {}", record.args())
    });
    builder.init();
}

/// Writes lines to standard output for as long as the reader keeps up and the budget lasts.
#[derive(Debug, Default)]
pub struct BoundedSink {
    state: Mutex<SinkState>,
}

#[derive(Debug, Default)]
struct SinkState {
    window: Option<Instant>,
    written: usize,
    left_out: u64,
}

impl Write for BoundedSink {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let state = self.state.get_mut().expect("log lock");
        let now = Instant::now();
        if state.window.is_none_or(|began| now - began >= BUDGET_WINDOW) {
            state.window = Some(now);
            state.written = 0;
        }
        let fits = line.len() <= MAX_LINE_BYTES && state.written + line.len() <= BYTES_PER_SECOND;
        if !fits || !is_writable() {
            state.left_out += 1;
            return Ok(line.len());
        }
        if state.left_out > 0 {
            let note = format!("level=warn event=log_lines_left_out count={}\n", state.left_out);
            state.left_out = 0;
            write_line(note.as_bytes());
            if !is_writable() {
                state.left_out += 1;
                return Ok(line.len());
            }
        }
        state.written += line.len();
        write_line(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Whether standard output takes a line without blocking.
fn is_writable() -> bool {
    let stdout = rustix::stdio::stdout();
    let mut descriptors = [PollFd::new(&stdout, PollFlags::OUT)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    let ready = poll(&mut descriptors, Some(&now));
    ready.is_ok_and(|count| count > 0) && descriptors[0].revents().contains(PollFlags::OUT)
}

/// A log that can't be written can't be reported either.
fn write_line(line: &[u8]) {
    if rustix::io::write(rustix::stdio::stdout(), line).is_err() {
        // Standard output is gone; the node goes on.
    }
}
