//! Log output, one line per event.

use std::io::Write;
use std::time::Duration;

use env_logger::{Builder, Env, Target};
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::clock::RuntimeClock;

/// Environment variable with the log filter.
const LOG_VARIABLE: &str = "BERYLSTEP_LOG";

const DEFAULT_FILTER: &str = "info";

/// Log output in bytes per second above which lines are dropped; a busy node writes about 20 KB per
/// second.
const BYTES_PER_SECOND: usize = 64 * 1024;

/// Part of [`BYTES_PER_SECOND`] available to lines below level `warn`; the rest is reserved, so that
/// failures are logged even when successful requests exhaust their part.
const INFO_BYTES_PER_SECOND: usize = BYTES_PER_SECOND / 4 * 3;

/// Maximum length of a line, in bytes; a writable pipe accepts this much without blocking.
const MAX_LINE_BYTES: usize = 4096;

/// Interval at which the byte budget is reset.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// Starts the logger on standard error; `BERYLSTEP_LOG` holds a filter of `env_logger`.
pub fn initialize() {
    let env = Env::new().filter_or(LOG_VARIABLE, DEFAULT_FILTER);
    Builder::from_env(env).format_timestamp_millis().init();
}

/// Starts the logger of `key=value` lines on standard output, which is rate-limited and never
/// blocks; the filter is as for [`initialize`].
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

/// Destination of log lines: standard output, or a substitute in tests.
pub trait LineOutput: Send {
    /// Whether a line can be written without blocking.
    fn is_writable(&self) -> bool;

    /// Writes a line; write errors are ignored, since there is nowhere to report them.
    fn write_line(&mut self, line: &[u8]);
}

/// Standard output of the process.
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
            // A closed standard output must not stop the node.
        }
    }
}

/// Writes lines while the output is writable and within the byte budget of each second; drops and
/// counts the others. Part of the budget is reserved for warnings and errors.
#[derive(Debug)]
pub struct BoundedSink<O> {
    output: O,
    clock: RuntimeClock,
    window: Option<Duration>,
    written: usize,
    dropped: DroppedLines,
}

/// Numbers of lines dropped since they were last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DroppedLines {
    info: u64,
    failures: u64,
}

impl<O: LineOutput> BoundedSink<O> {
    /// Creates a sink with the whole byte budget.
    pub fn new(output: O, clock: RuntimeClock) -> Self {
        Self { output, clock, window: None, written: 0, dropped: DroppedLines::default() }
    }

    /// Returns the output, for tests.
    pub fn output(&mut self) -> &mut O {
        &mut self.output
    }

    fn count_dropped(&mut self, is_failure: bool) {
        match is_failure {
            true => self.dropped.failures += 1,
            false => self.dropped.info += 1,
        }
    }

    /// Writes a line with the numbers of dropped lines and resets them.
    fn report_dropped(&mut self) {
        let DroppedLines { info, failures } = std::mem::take(&mut self.dropped);
        let line = format!("level=warn event=log_lines_left_out info={info} failures={failures}\n");
        self.output.write_line(line.as_bytes());
    }
}

impl<O: LineOutput> Write for BoundedSink<O> {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let now = self.clock.now();
        if self.window.is_none_or(|start| now - start >= BUDGET_WINDOW) {
            self.window = Some(now);
            self.written = 0;
        }
        let is_failure = is_failure(line);
        let budget = if is_failure { BYTES_PER_SECOND } else { INFO_BYTES_PER_SECOND };
        let fits = line.len() <= MAX_LINE_BYTES && self.written + line.len() <= budget;
        if !fits || !self.output.is_writable() {
            self.count_dropped(is_failure);
            return Ok(line.len());
        }
        if self.dropped != DroppedLines::default() {
            self.report_dropped();
            if !self.output.is_writable() {
                self.count_dropped(is_failure);
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

/// Whether a line has level `warn` or `error`; the level is its second field.
fn is_failure(line: &[u8]) -> bool {
    let mut fields = line.split(|byte| *byte == b' ');
    matches!(fields.nth(1), Some(b"level=warn" | b"level=error"))
}
