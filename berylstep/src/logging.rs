//! Log output: one line an event.

use std::io::Write;
use std::time::Duration;

use env_logger::{Builder, Env, Target};
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::clock::RuntimeClock;

/// Variable that holds the log filter.
const LOG_VARIABLE: &str = "BERYLSTEP_LOG";

const DEFAULT_FILTER: &str = "info";

/// Bytes of log output a second beyond which lines are left out; a busy node writes about 20 KB.
const BYTES_PER_SECOND: usize = 64 * 1024;

/// Part of it that lines other than warnings and errors may use: failures are logged also when the
/// requests that succeed use up theirs.
const ORDINARY_BYTES_PER_SECOND: usize = BYTES_PER_SECOND / 4 * 3;

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
pub fn initialize_key_value() {
    let env = Env::new().filter_or(LOG_VARIABLE, DEFAULT_FILTER);
    let sink = BoundedSink::new(StandardOutput, RuntimeClock::system());
    let mut builder = Builder::from_env(env);
    builder.target(Target::Pipe(Box::new(sink)));
    builder.format(|buffer, record| {
        let time = buffer.timestamp_millis();
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(buffer, "time={time} level={level} {}", record.args())
    });
    builder.init();
}

/// Where lines go. The only implementation outside of tests is standard output.
pub trait LineOutput: Send {
    /// Whether a line can be written without blocking.
    fn is_writable(&self) -> bool;

    /// Writes a line; one that can't be written is lost, since nothing could report it either.
    fn write_line(&mut self, line: &[u8]);
}

/// Standard output.
#[derive(Debug)]
pub struct StandardOutput;

impl LineOutput for StandardOutput {
    fn is_writable(&self) -> bool {
        let stdout = rustix::stdio::stdout();
        let mut descriptors = [PollFd::new(&stdout, PollFlags::OUT)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        let ready = poll(&mut descriptors, Some(&now));
        ready.is_ok_and(|count| count > 0) && descriptors[0].revents().contains(PollFlags::OUT)
    }

    fn write_line(&mut self, line: &[u8]) {
        if rustix::io::write(rustix::stdio::stdout(), line).is_err() {
            // Standard output is gone; the node goes on.
        }
    }
}

/// Writes lines for as long as the reader keeps up and the budget of a second lasts; warnings and
/// errors may use a part of it that other lines may not.
#[derive(Debug)]
pub struct BoundedSink<O> {
    output: O,
    clock: RuntimeClock,
    window: Option<Duration>,
    written: usize,
    left_out: LeftOut,
}

/// Lines that were left out since the last note.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LeftOut {
    ordinary: u64,
    failures: u64,
}

impl<O: LineOutput> BoundedSink<O> {
    /// A sink that has written nothing.
    pub fn new(output: O, clock: RuntimeClock) -> Self {
        Self { output, clock, window: None, written: 0, left_out: LeftOut::default() }
    }

    /// Output, for tests.
    pub fn output(&mut self) -> &mut O {
        &mut self.output
    }

    fn leave_out(&mut self, is_failure: bool) {
        match is_failure {
            true => self.left_out.failures += 1,
            false => self.left_out.ordinary += 1,
        }
    }

    /// Notes how many lines were left out.
    fn write_note(&mut self) {
        let LeftOut { ordinary, failures } = std::mem::take(&mut self.left_out);
        let note =
            format!("level=warn event=log_lines_left_out info={ordinary} failures={failures}\n");
        self.output.write_line(note.as_bytes());
    }
}

impl<O: LineOutput> Write for BoundedSink<O> {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let now = self.clock.now();
        if self.window.is_none_or(|began| now - began >= BUDGET_WINDOW) {
            self.window = Some(now);
            self.written = 0;
        }
        let is_failure = is_failure(line);
        let budget = if is_failure { BYTES_PER_SECOND } else { ORDINARY_BYTES_PER_SECOND };
        let fits = line.len() <= MAX_LINE_BYTES && self.written + line.len() <= budget;
        if !fits || !self.output.is_writable() {
            self.leave_out(is_failure);
            return Ok(line.len());
        }
        if self.left_out != LeftOut::default() {
            self.write_note();
            if !self.output.is_writable() {
                self.leave_out(is_failure);
                return Ok(line.len());
            }
        }
        self.written += line.len();
        self.output.write_line(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Whether a line is a warning or an error; the level is its second field.
fn is_failure(line: &[u8]) -> bool {
    let mut fields = line.split(|byte| *byte == b' ');
    matches!(fields.nth(1), Some(b"level=warn" | b"level=error"))
}
