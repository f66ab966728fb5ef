//! Continuous batching: each iteration generates one token for every running sequence.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol::channel::{bounded, unbounded, Receiver, Sender};

use super::cache::PrefixCache;
use super::call::CompletionCall;
use super::text::{block_hashes, TextState, BLOCK_TOKENS};
use super::{EngineFaults, EngineSettings};

/// Interval between checks whether the engine is still silent.
const SILENT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Exit code of an injected crash.
const CRASH_EXIT_CODE: i32 = 70;

/// Why a sequence ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The text ended.
    Stop,
    /// The limit of output tokens was reached.
    Length,
}

impl FinishReason {
    /// Returns the value of `finish_reason` in the OpenAI API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}

/// Output of a sequence in one iteration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SequenceEvent {
    /// A token.
    Token(String),
    /// End of the sequence.
    Finished(FinishReason),
}

/// Counters since the start of the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Output tokens generated.
    pub tokens: u64,
    /// Output tokens generated for requests that were cancelled later.
    pub wasted_tokens: u64,
    /// Requests finished.
    pub finished: u64,
    /// Requests cancelled while queued or running.
    pub cancelled: u64,
    /// Prompt tokens received.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Peak batch size, in sequences.
    pub peak_batch: usize,
    /// Peak queue length, in sequences.
    pub peak_waiting: usize,
}

/// Load reported by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences in the batch.
    pub running: usize,
    /// Sequences in the queue.
    pub waiting: usize,
    /// Output tokens per second of the current batch.
    pub tokens_per_second: f64,
}

/// Handle of a submitted sequence.
#[derive(Debug)]
pub struct SequenceHandle {
    /// Output; dropping the receiver cancels the sequence.
    pub events: Receiver<SequenceEvent>,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
}

#[derive(Debug)]
struct Sequence {
    text: TextState,
    prefill_tokens: u64,
    remaining_tokens: u64,
    generated_tokens: u64,
    events: Sender<SequenceEvent>,
}

/// Batch, queue and prefix cache of one engine.
#[derive(Debug)]
pub struct EngineBatch {
    settings: EngineSettings,
    faults: Arc<Mutex<EngineFaults>>,
    state: Mutex<BatchState>,
    arrivals: AtomicU64,
    wake: (Sender<()>, Receiver<()>),
}

#[derive(Debug)]
struct BatchState {
    waiting: BTreeMap<(i64, u64), Sequence>,
    running: Vec<Sequence>,
    cache: PrefixCache,
    stats: EngineStats,
    iteration_time: Duration,
}

impl EngineBatch {
    /// Creates an empty batch.
    pub fn new(settings: EngineSettings, faults: Arc<Mutex<EngineFaults>>) -> Self {
        let state = BatchState {
            waiting: BTreeMap::new(),
            running: Vec::new(),
            cache: PrefixCache::new(settings.cache_blocks),
            stats: EngineStats::default(),
            iteration_time: Duration::ZERO,
        };
        let (state, arrivals, wake) = (Mutex::new(state), AtomicU64::new(0), bounded(1));
        Self { settings, faults, state, arrivals, wake }
    }

    /// Queues a call.
    pub fn submit(&self, call: &CompletionCall) -> SequenceHandle {
        let blocks = block_hashes(&call.prompt);
        let (event_sender, event_receiver) = unbounded();
        let order = self.arrivals.fetch_add(1, Ordering::Relaxed);
        let mut state = self.lock();
        let cached_tokens = (state.cache.admit(&blocks) * BLOCK_TOKENS) as u64;
        state.stats.prompt_tokens += call.prompt_tokens();
        state.stats.cached_tokens += cached_tokens;
        let text = TextState::after(&call.prompt);
        let is_ended = call.continues && text.is_end(self.settings.seed, self.settings.mean_tokens);
        let sequence = Sequence {
            text,
            prefill_tokens: call.prompt_tokens().saturating_sub(cached_tokens),
            remaining_tokens: if is_ended { 0 } else { call.max_tokens },
            generated_tokens: 0,
            events: event_sender,
        };
        state.waiting.insert((call.priority, order), sequence);
        drop(state);
        let _ = self.wake.0.try_send(());
        SequenceHandle { events: event_receiver, cached_tokens }
    }

    /// Returns the current load.
    pub fn load(&self) -> EngineLoad {
        let mut state = self.lock();
        state.remove_cancelled();
        let (running, waiting) = (state.running.len(), state.waiting.len());
        let rate = match state.iteration_time.as_secs_f64() {
            seconds if seconds > 0.0 => running as f64 / seconds,
            _ => 0.0,
        };
        EngineLoad { running, waiting, tokens_per_second: rate }
    }

    /// Returns the counters since the start.
    pub fn stats(&self) -> EngineStats {
        let mut state = self.lock();
        state.remove_cancelled();
        state.stats.clone()
    }

    /// Runs iterations while there is work; never returns.
    pub async fn run(&self) {
        loop {
            let Some(iteration) = self.begin_iteration() else {
                let _ = self.wake.1.recv().await;
                continue;
            };
            match iteration.is_zero() {
                true => smol::future::yield_now().await,
                false => {
                    smol::Timer::after(iteration).await;
                }
            }
            while self.faults().silent {
                smol::Timer::after(SILENT_POLL_INTERVAL).await;
            }
            self.finish_iteration();
        }
    }

    /// Fills the batch and returns the duration of the next iteration; `None` if there is no work.
    fn begin_iteration(&self) -> Option<Duration> {
        let slow_factor = self.faults().slow_factor;
        let mut state = self.lock();
        state.remove_cancelled();
        let prefill_tokens = state.fill(self.settings.slots);
        let batch = state.running.len() as u64;
        if batch == 0 {
            return None;
        }
        let decode_us = self.settings.token_ms * 1000 + self.settings.batch_us * (batch - 1);
        let prefill_us = self.settings.prefill_us * prefill_tokens;
        let iteration = Duration::from_micros(decode_us + prefill_us).mul_f64(slow_factor);
        state.iteration_time = iteration;
        Some(iteration)
    }

    /// Generates a token for every running sequence and removes finished sequences.
    fn finish_iteration(&self) {
        let mut state = self.lock();
        let BatchState { running, stats, .. } = &mut *state;
        let (seed, mean_tokens) = (self.settings.seed, self.settings.mean_tokens);
        running.retain_mut(|sequence| {
            let finished = sequence.step(seed, mean_tokens, stats);
            stats.finished += u64::from(finished);
            !finished
        });
        let generated = stats.tokens;
        drop(state);
        if self.faults().crash_due(generated) {
            log::warn!("injected crash: tokens={generated}");
            std::process::exit(CRASH_EXIT_CODE);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BatchState> {
        self.state.lock().expect("batch lock")
    }

    fn faults(&self) -> MutexGuard<'_, EngineFaults> {
        self.faults.lock().expect("fault lock")
    }
}

impl BatchState {
    /// Removes sequences whose receiver was dropped.
    fn remove_cancelled(&mut self) {
        let stats = &mut self.stats;
        let mut is_wanted = |sequence: &Sequence| {
            let wanted = !sequence.events.is_closed();
            if !wanted {
                stats.cancelled += 1;
                stats.wasted_tokens += sequence.generated_tokens;
            }
            wanted
        };
        self.waiting.retain(|_, sequence| is_wanted(sequence));
        self.running.retain(|sequence| is_wanted(sequence));
    }

    /// Moves waiting sequences into the batch and returns the number of prompt tokens to prefill.
    fn fill(&mut self, slots: usize) -> u64 {
        self.stats.peak_waiting = self.stats.peak_waiting.max(self.waiting.len());
        let mut prefill_tokens = 0;
        while self.running.len() < slots {
            let Some((_, sequence)) = self.waiting.pop_first() else { break };
            prefill_tokens += sequence.prefill_tokens;
            self.running.push(sequence);
        }
        self.stats.peak_batch = self.stats.peak_batch.max(self.running.len());
        prefill_tokens
    }
}

impl Sequence {
    /// Generates a token unless the sequence is at its limit; returns whether the sequence ended.
    fn step(&mut self, seed: u64, mean_tokens: u64, stats: &mut EngineStats) -> bool {
        if self.remaining_tokens > 0 {
            let token = self.text.next_token();
            self.remaining_tokens -= 1;
            self.generated_tokens += 1;
            stats.tokens += 1;
            self.send(SequenceEvent::Token(token));
        }
        let reason = match self.remaining_tokens {
            _ if self.text.is_end(seed, mean_tokens) => FinishReason::Stop,
            0 => FinishReason::Length,
            _ => return false,
        };
        self.send(SequenceEvent::Finished(reason));
        true
    }

    fn send(&self, event: SequenceEvent) {
        // `remove_cancelled` handles closed channels.
        let _ = self.events.try_send(event);
    }
}
