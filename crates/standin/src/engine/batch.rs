//! Continuous batching: what runs at once, what waits, and the prefix cache.

use std::time::Duration;

use indexmap::IndexMap;
use rocket::tokio::sync::oneshot;

use super::settings::Pace;
use super::tokens::digest;
use super::tokens::TOKEN_BYTES;

/// Prompt tokens of one block of the prefix cache.
const BLOCK_TOKENS: usize = 16;

/// A waiting request.
#[derive(Debug)]
struct Waiter {
    priority: i32,
    order: u64,
    start: oneshot::Sender<()>,
}

/// Running and waiting requests of one engine.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    running: usize,
    waiting: Vec<Waiter>,
    next: u64,
    prefixes: IndexMap<u64, ()>,
}

/// Answer to a request that wants to run.
#[derive(Debug)]
pub(crate) enum Entry {
    /// It runs.
    Runs,
    /// It runs once the receiver is told.
    Waits(oneshot::Receiver<()>),
    /// Too many wait.
    Full,
}

impl Batch {
    /// Lets a request run or wait. Who runs calls [`Batch::leave`] at its end.
    pub fn enter(&mut self, pace: &Pace, priority: i32) -> Entry {
        if self.running < pace.running {
            self.running += 1;
            return Entry::Runs;
        }
        if self.waiting.len() >= pace.waiting {
            return Entry::Full;
        }
        let (start, started) = oneshot::channel();
        let order = self.next;
        self.next += 1;
        self.waiting.push(Waiter { priority, order, start });
        Entry::Waits(started)
    }

    /// Ends a running request and starts the waiting one of highest priority, oldest first.
    pub fn leave(&mut self) {
        self.running -= 1;
        while let Some(waiter) = self.pop() {
            if waiter.start.send(()).is_ok() {
                self.running += 1;
                return;
            }
        }
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.iter().filter(|waiter| !waiter.start.is_closed()).count()
    }

    /// Time of one token with what runs now.
    pub fn token_time(&self, pace: &Pace) -> Duration {
        let others = u32::try_from(self.running.saturating_sub(1)).unwrap_or(u32::MAX);
        pace.token_base + pace.token_slope * others
    }

    /// Time of the prompt: its blocks in the cache cost nothing and become the youngest.
    pub fn prompt_time(&mut self, pace: &Pace, model: &str, prompt: &str) -> Duration {
        let mut chain = digest(&model);
        let mut missed = 0;
        let mut hits = true;
        for block in prompt.as_bytes().chunks(BLOCK_TOKENS * TOKEN_BYTES) {
            chain = digest(&(chain, block));
            let known = self.prefixes.shift_remove(&chain).is_some();
            hits = hits && known;
            if !hits {
                missed += block.len().div_ceil(TOKEN_BYTES);
            }
            self.prefixes.insert(chain, ());
        }
        let excess = self.prefixes.len().saturating_sub(pace.prefix_blocks);
        self.prefixes.drain(..excess);
        pace.prompt_token * u32::try_from(missed).unwrap_or(u32::MAX)
    }

    /// Forgets all prefixes.
    pub fn forget(&mut self) {
        self.prefixes.clear();
    }

    fn pop(&mut self) -> Option<Waiter> {
        let best = self
            .waiting
            .iter()
            .enumerate()
            .max_by_key(|(_, waiter)| (waiter.priority, std::cmp::Reverse(waiter.order)))
            .map(|(index, _)| index)?;
        Some(self.waiting.swap_remove(best))
    }
}
