//! Description of the machine and resource usage of processes, from `/proc`.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Index of the user time, in ticks, among the fields of `/proc/PID/stat` after the command name.
const USER_TIME_FIELD: usize = 11;

/// Index of the system time, in ticks.
const SYSTEM_TIME_FIELD: usize = 12;

/// Returns the processor time that a process has used; zero if it has exited.
pub fn processor_time(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    let sum =
        ticks(USER_TIME_FIELD).unwrap_or_default() + ticks(SYSTEM_TIME_FIELD).unwrap_or_default();
    Duration::from_millis(sum * 1000 / TICKS_PER_SECOND)
}

/// Returns the processor time that the calling thread has used.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the resident memory of a process, in KiB; 0 if it has exited.
pub fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    kib_field(&status, "VmRSS:")
}

/// Returns a description of the machine: cores, memory and load average.
pub fn description() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let memory_gib = kib_field(&memory, "MemTotal:") as f64 / f64::from(1 << 20);
    format!("{cores} cores, {memory_gib:.0} GiB, load average {}", load_average())
}

/// Returns the load average over the last minute; empty if it cannot be read.
pub fn load_average() -> String {
    let averages = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    averages.split(' ').next().unwrap_or_default().to_owned()
}

fn kib_field(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.and_then(|value| value.parse().ok()).unwrap_or_default()
}
