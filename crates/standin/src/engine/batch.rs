//! The continuous batch of an engine: running requests, the queue of waiting ones and the prefix
//! cache.

use std::time::Duration;

use indexmap::IndexMap;
use rocket::tokio::sync::oneshot;

use super::settings::Pace;
use super::tokens::digest;
use super::tokens::TOKEN_BYTES;

/// Prompt tokens in one block of the prefix cache.
const BLOCK_TOKENS: usize = 16;

/// A request in the queue.
#[derive(Debug)]
struct QueuedRequest {
    priority: i32,
    /// Arrival number, which orders requests of equal priority.
    sequence: u64,
    /// Notified when the request gets a slot in the batch.
    slot_sender: oneshot::Sender<()>,
}

/// Running and waiting requests of one engine.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    running: usize,
    waiting: Vec<QueuedRequest>,
    next_sequence: u64,
    /// Chained hashes of the cached prompt blocks, least recently used first.
    prefixes: IndexMap<u64, ()>,
}

/// Result of [`Batch::admit`].
#[derive(Debug)]
pub(crate) enum Admission {
    /// The request has a slot and can run at once.
    Running,
    /// The request is queued; the receiver is notified when it gets a slot.
    Queued(oneshot::Receiver<()>),
    /// The queue is full and the request is rejected.
    QueueFull,
}

impl Batch {
    /// Gives a request a slot or queues it. A request that got a slot must call
    /// [`Batch::release`] when it ends.
    pub fn admit(&mut self, pace: &Pace, priority: i32) -> Admission {
        if self.running < pace.max_running {
            self.running += 1;
            return Admission::Running;
        }
        if self.waiting.len() >= pace.max_waiting {
            return Admission::QueueFull;
        }
        let (slot_sender, slot_receiver) = oneshot::channel();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.waiting.push(QueuedRequest { priority, sequence, slot_sender });
        Admission::Queued(slot_receiver)
    }

    /// Releases a slot and passes it to the queued request with the highest priority; among equal
    /// priorities the oldest goes first.
    pub fn release(&mut self) {
        self.running -= 1;
        while let Some(request) = self.pop_highest_priority() {
            if request.slot_sender.send(()).is_ok() {
                self.running += 1;
                return;
            }
        }
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of queued requests, without those whose caller has gone.
    pub fn waiting(&self) -> usize {
        self.waiting.iter().filter(|request| !request.slot_sender.is_closed()).count()
    }

    /// Time to generate one token at the current batch size.
    pub fn token_time(&self, pace: &Pace) -> Duration {
        let others = u32::try_from(self.running.saturating_sub(1)).unwrap_or(u32::MAX);
        pace.token_base + pace.token_slope * others
    }

    /// Time to process a prompt. Leading blocks that are in the prefix cache cost nothing; all
    /// blocks of the prompt become the most recently used.
    pub fn prompt_time(&mut self, pace: &Pace, model: &str, prompt: &str) -> Duration {
        let mut block_hash = digest(&model);
        let mut uncached_tokens = 0;
        let mut prefix_cached = true;
        for block in prompt.as_bytes().chunks(BLOCK_TOKENS * TOKEN_BYTES) {
            block_hash = digest(&(block_hash, block));
            let cached = self.prefixes.shift_remove(&block_hash).is_some();
            prefix_cached = prefix_cached && cached;
            if !prefix_cached {
                uncached_tokens += block.len().div_ceil(TOKEN_BYTES);
            }
            self.prefixes.insert(block_hash, ());
        }
        let excess = self.prefixes.len().saturating_sub(pace.prefix_blocks);
        self.prefixes.drain(..excess);
        pace.prompt_token * u32::try_from(uncached_tokens).unwrap_or(u32::MAX)
    }

    /// Empties the prefix cache.
    pub fn clear_prefix_cache(&mut self) {
        self.prefixes.clear();
    }

    fn pop_highest_priority(&mut self) -> Option<QueuedRequest> {
        let best_index = self
            .waiting
            .iter()
            .enumerate()
            .max_by_key(|(_, request)| (request.priority, std::cmp::Reverse(request.sequence)))
            .map(|(index, _)| index)?;
        Some(self.waiting.swap_remove(best_index))
    }
}
