//! One request from its arrival to its last token.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rocket::tokio;
use rocket::tokio::sync::mpsc;
use rocket::tokio::sync::Notify;
use rocket::tokio::time::sleep;

use super::batch::Entry;
use super::faults::Twist;
use super::ledger;
use super::ledger::Served;
use super::requests::Body;
use super::requests::Chunks;
use super::requests::Style;
use super::server::Engine;
use super::server::Job;
use super::tokens;

/// Why a request isn't taken; nothing of it has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refused {
    /// A fault that was ordered.
    Unavailable,
    /// The model or adapter isn't loaded.
    NotLoaded,
    /// Too many wait.
    Busy,
}

/// A call as it came.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub request_id: String,
    pub remote: Option<SocketAddr>,
    pub style: Style,
    pub body: Body,
}

/// Why a request ended before its last token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stop {
    /// Cancelled, or the caller is gone.
    Cancelled,
    /// The model was lost, or a fault cut it.
    Broken,
}

/// A request that was taken.
struct Task {
    engine: Arc<Engine>,
    job: u64,
    served: usize,
    generation: u64,
    call: Call,
    prompt: String,
    chunks: Chunks,
    twist: Option<Twist>,
    cancel: Arc<Notify>,
    sender: mpsc::UnboundedSender<String>,
}

/// Takes a request and returns the events of its answer.
pub(crate) fn start(
    engine: &Arc<Engine>,
    call: Call,
) -> Result<mpsc::UnboundedReceiver<String>, Refused> {
    let twist = {
        let mut faults = engine.faults.lock();
        if faults.refuses() {
            return Err(Refused::Unavailable);
        }
        faults.next_twist()
    };
    let adapter = call.body.adapter.as_deref();
    let Some(generation) = engine.models.lock().enter(&call.body.model, adapter) else {
        engine.ledger.lock().not_loaded += 1;
        return Err(Refused::NotLoaded);
    };
    let entry = engine.batch.lock().enter(&engine.settings.pace, call.body.priority);
    if matches!(entry, Entry::Full) {
        engine.models.lock().leave(&call.body.model, generation);
        return Err(Refused::Busy);
    }
    let cancel = Arc::new(Notify::new());
    let job = engine.enter_job(&call, &cancel);
    let served = engine.note(&call);
    let (sender, receiver) = mpsc::unbounded_channel();
    let chunks =
        Chunks { id: call.request_id.clone(), model: call.body.model.clone(), style: call.style };
    let prompt = call.body.prompt(call.style);
    let engine = Arc::clone(engine);
    let task =
        Task { engine, job, served, generation, call, prompt, chunks, twist, cancel, sender };
    tokio::spawn(task.run(entry));
    Ok(receiver)
}

impl Task {
    async fn run(mut self, entry: Entry) {
        let runs = self.wait(entry).await;
        let result = if runs { self.produce().await } else { Err(Stop::Cancelled) };
        if runs {
            self.engine.batch.lock().leave();
        }
        self.engine.models.lock().leave(&self.call.body.model, self.generation);
        self.engine.jobs.lock().table.shift_remove(&self.job);
        let mut ledger = self.engine.ledger.lock();
        let served = &mut ledger.requests[self.served];
        served.finished = result.is_ok();
        served.cancelled = result == Err(Stop::Cancelled);
    }

    /// Waits for a place; false when cancelled before there was one.
    async fn wait(&self, entry: Entry) -> bool {
        let mut started = match entry {
            Entry::Runs => return true,
            Entry::Full => return false,
            Entry::Waits(started) => started,
        };
        let cancelled = tokio::select! {
            _ = self.cancel.notified() => true,
            _ = self.sender.closed() => true,
            _ = &mut started => false,
        };
        if cancelled {
            started.close();
            // The place may have been given in the moment of the cancellation.
            if started.try_recv().is_ok() {
                self.engine.batch.lock().leave();
            }
        }
        !cancelled
    }

    async fn produce(&mut self) -> Result<(), Stop> {
        self.bear()?;
        let pace = self.engine.settings.pace;
        let model = self.call.body.model.clone();
        let mut first = self.engine.batch.lock().prompt_time(&pace, &model, &self.prompt);
        if let Some(Twist::Late(delay)) = self.twist {
            first += delay;
        }
        self.pause(first).await?;
        let maximum = self.call.body.max_tokens();
        let count = tokens::length(&self.prompt, maximum, self.engine.settings.natural_tokens);
        for index in self.call.body.resume_from..count {
            self.twist_at(index - self.call.body.resume_from).await?;
            let span = self.token_time();
            self.pause(span).await?;
            self.send_token(index)?;
        }
        let sent = count.saturating_sub(self.call.body.resume_from);
        self.twist_at(sent).await?;
        let reason = if count < maximum { "stop" } else { "length" };
        let last = self.chunks.last(reason, tokens::prompt_tokens(&self.prompt), count);
        self.sender.send(last).map_err(|_| Stop::Cancelled)
    }

    /// Counts the request as running and lets a fresh engine die of too many.
    fn bear(&self) -> Result<(), Stop> {
        let fresh = self.engine.is_fresh();
        let running = self.engine.batch.lock().running();
        let mut ledger = self.engine.ledger.lock();
        ledger.peak_running = ledger.peak_running.max(running);
        if !fresh || running <= self.engine.settings.warmup.bears {
            return Ok(());
        }
        ledger.overloads += 1;
        if running < self.engine.settings.warmup.dies {
            return Ok(());
        }
        ledger.collapsed = true;
        drop(ledger);
        self.engine.die();
        Err(Stop::Broken)
    }

    fn token_time(&self) -> Duration {
        let slow = self.engine.faults.lock().slow;
        let fresh = self.engine.is_fresh();
        let batch = self.engine.batch.lock();
        let span = batch.token_time(&self.engine.settings.pace) * slow;
        if fresh && batch.running() > self.engine.settings.warmup.bears {
            return span * self.engine.settings.warmup.slowdown;
        }
        span
    }

    /// What the fault of this request does once `sent` tokens went out.
    async fn twist_at(&mut self, sent: u32) -> Result<(), Stop> {
        match self.twist {
            Some(Twist::Stall(after)) if sent >= after => {
                tokio::select! {
                    _ = self.cancel.notified() => {}
                    _ = self.sender.closed() => {}
                }
                Err(Stop::Cancelled)
            }
            Some(Twist::Truncate(after)) if sent >= after => Err(Stop::Broken),
            Some(Twist::Crossed(after)) if sent >= after => {
                self.chunks.id = format!("other-{}", self.call.request_id);
                self.prompt = format!("other {}", self.prompt);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn send_token(&self, index: u32) -> Result<(), Stop> {
        let body = &self.call.body;
        let text = tokens::token(&body.model, body.adapter.as_deref(), &self.prompt, index);
        self.sender.send(self.chunks.token(&text)).map_err(|_| Stop::Cancelled)?;
        self.engine.ledger.lock().requests[self.served].tokens += 1;
        Ok(())
    }

    /// Lets time pass, unless the request is cancelled or its model is gone.
    async fn pause(&self, span: Duration) -> Result<(), Stop> {
        tokio::select! {
            biased;
            _ = self.cancel.notified() => return Err(Stop::Cancelled),
            _ = self.sender.closed() => return Err(Stop::Cancelled),
            _ = sleep(span) => {}
        }
        let mut models = self.engine.models.lock();
        match models.current(&self.call.body.model, self.generation) {
            Some(_) => Ok(()),
            None => Err(Stop::Broken),
        }
    }
}

impl Engine {
    fn enter_job(&self, call: &Call, cancel: &Arc<Notify>) -> u64 {
        let mut jobs = self.jobs.lock();
        jobs.next += 1;
        let number = jobs.next;
        let job = Job {
            request_id: call.request_id.clone(),
            remote: call.remote,
            cancel: Arc::clone(cancel),
        };
        jobs.table.insert(number, job);
        number
    }

    /// Notes a request that was taken and returns its position in the ledger.
    fn note(&self, call: &Call) -> usize {
        let served = Served {
            request_id: call.request_id.clone(),
            model: call.body.model.clone(),
            adapter: call.body.adapter.clone(),
            start_us: ledger::micros(self.start),
            resume_from: call.body.resume_from,
            ..Served::default()
        };
        let mut ledger = self.ledger.lock();
        ledger.requests.push(served);
        ledger.requests.len() - 1
    }
}
