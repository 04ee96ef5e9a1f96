//! Handles one generation request, from admission to the last token.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rocket::tokio;
use rocket::tokio::sync::mpsc;
use rocket::tokio::sync::Notify;
use rocket::tokio::time::sleep;

use super::batch::Admission;
use super::faults::StreamFault;
use super::ledger;
use super::ledger::RequestRecord;
use super::requests::ChunkEncoder;
use super::requests::Endpoint;
use super::requests::RequestBody;
use super::server::Engine;
use super::server::Job;
use super::tokens;

/// Reason for rejecting a request before it has started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AdmissionError {
    /// An injected fault rejects requests.
    Unavailable,
    /// The model or adapter isn't loaded.
    NotLoaded,
    /// The queue is full.
    Busy,
}

/// A received request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub request_id: String,
    /// The relay's local address of the connection the request came on.
    pub remote: Option<SocketAddr>,
    pub endpoint: Endpoint,
    pub body: RequestBody,
}

/// Reason why a request ended before its last token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Interruption {
    /// Cancelled, or the caller disconnected.
    Cancelled,
    /// The model was lost, or an injected fault ended the stream.
    Failed,
}

/// An admitted request.
struct RequestTask {
    engine: Arc<Engine>,
    job_id: u64,
    /// Index of the request's record in the ledger.
    record_index: usize,
    /// Generation of the model that serves the request.
    generation: u64,
    call: Call,
    prompt: String,
    encoder: ChunkEncoder,
    stream_fault: Option<StreamFault>,
    cancel: Arc<Notify>,
    sender: mpsc::UnboundedSender<String>,
}

/// Admits a request and returns the channel of its response events.
pub(crate) fn start_request(
    engine: &Arc<Engine>,
    call: Call,
) -> Result<mpsc::UnboundedReceiver<String>, AdmissionError> {
    let stream_fault = {
        let mut faults = engine.faults.lock();
        if faults.is_refusing() {
            return Err(AdmissionError::Unavailable);
        }
        faults.next_stream_fault()
    };
    let adapter = call.body.adapter.as_deref();
    let Some(generation) = engine.models.lock().acquire(&call.body.model, adapter) else {
        engine.ledger.lock().not_loaded += 1;
        return Err(AdmissionError::NotLoaded);
    };
    let admission = engine.batch.lock().admit(&engine.settings.pace, call.body.priority);
    if matches!(admission, Admission::QueueFull) {
        engine.models.lock().release(&call.body.model, generation);
        return Err(AdmissionError::Busy);
    }
    let cancel = Arc::new(Notify::new());
    let job_id = engine.register_job(&call, &cancel);
    let record_index = engine.record_request(&call);
    let (sender, receiver) = mpsc::unbounded_channel();
    let encoder = ChunkEncoder {
        id: call.request_id.clone(),
        model: call.body.model.clone(),
        endpoint: call.endpoint,
    };
    let prompt = call.body.prompt(call.endpoint);
    let engine = Arc::clone(engine);
    let task = RequestTask {
        engine,
        job_id,
        record_index,
        generation,
        call,
        prompt,
        encoder,
        stream_fault,
        cancel,
        sender,
    };
    tokio::spawn(task.run(admission));
    Ok(receiver)
}

impl RequestTask {
    async fn run(mut self, admission: Admission) {
        let has_slot = self.wait_for_slot(admission).await;
        let result =
            if has_slot { self.generate_tokens().await } else { Err(Interruption::Cancelled) };
        if has_slot {
            self.engine.batch.lock().release();
        }
        self.engine.models.lock().release(&self.call.body.model, self.generation);
        self.engine.jobs.lock().by_id.shift_remove(&self.job_id);
        let mut ledger = self.engine.ledger.lock();
        let record = &mut ledger.requests[self.record_index];
        record.finished = result.is_ok();
        record.cancelled = result == Err(Interruption::Cancelled);
    }

    /// Waits for a slot in the batch; returns false if the request is cancelled first.
    async fn wait_for_slot(&self, admission: Admission) -> bool {
        let mut slot_receiver = match admission {
            Admission::Running => return true,
            Admission::QueueFull => return false,
            Admission::Queued(slot_receiver) => slot_receiver,
        };
        let cancelled = tokio::select! {
            _ = self.cancel.notified() => true,
            _ = self.sender.closed() => true,
            _ = &mut slot_receiver => false,
        };
        if cancelled {
            slot_receiver.close();
            // The slot may have been granted at the moment of cancellation.
            if slot_receiver.try_recv().is_ok() {
                self.engine.batch.lock().release();
            }
        }
        !cancelled
    }

    /// Processes the prompt and streams the tokens from `resume_from` on.
    async fn generate_tokens(&mut self) -> Result<(), Interruption> {
        self.check_warmup_load()?;
        let pace = self.engine.settings.pace;
        let model = self.call.body.model.clone();
        let mut first_token_time =
            self.engine.batch.lock().prompt_time(&pace, &model, &self.prompt);
        if let Some(StreamFault::Late(delay)) = self.stream_fault {
            first_token_time += delay;
        }
        self.sleep_unless_interrupted(first_token_time).await?;
        let max_tokens = self.call.body.max_tokens();
        let count = tokens::answer_tokens(&self.prompt, max_tokens, self.engine.settings.eos_limit);
        for index in self.call.body.resume_from..count {
            self.apply_stream_fault(index - self.call.body.resume_from).await?;
            let duration = self.token_time();
            self.sleep_unless_interrupted(duration).await?;
            self.send_token(index)?;
        }
        let sent = count.saturating_sub(self.call.body.resume_from);
        self.apply_stream_fault(sent).await?;
        let finish_reason = if count < max_tokens { "stop" } else { "length" };
        let final_events =
            self.encoder.final_events(finish_reason, tokens::prompt_tokens(&self.prompt), count);
        self.sender.send(final_events).map_err(|_| Interruption::Cancelled)
    }

    /// Records the number of running requests and crashes an engine that is overloaded during
    /// warm-up.
    fn check_warmup_load(&self) -> Result<(), Interruption> {
        let warming_up = self.engine.is_warming_up();
        let running = self.engine.batch.lock().running();
        let mut ledger = self.engine.ledger.lock();
        ledger.peak_running = ledger.peak_running.max(running);
        if !warming_up || running <= self.engine.settings.warmup.sustained_requests {
            return Ok(());
        }
        ledger.overloads += 1;
        if running < self.engine.settings.warmup.crash_requests {
            return Ok(());
        }
        ledger.collapsed = true;
        drop(ledger);
        self.engine.crash();
        Err(Interruption::Failed)
    }

    /// Time to generate the next token, with injected slowness and warm-up overload.
    fn token_time(&self) -> Duration {
        let slowdown = self.engine.faults.lock().token_slowdown;
        let warming_up = self.engine.is_warming_up();
        let batch = self.engine.batch.lock();
        let duration = batch.token_time(&self.engine.settings.pace) * slowdown;
        if warming_up && batch.running() > self.engine.settings.warmup.sustained_requests {
            return duration * self.engine.settings.warmup.slowdown;
        }
        duration
    }

    /// Applies the request's injected fault after `sent` tokens have been sent.
    async fn apply_stream_fault(&mut self, sent: u32) -> Result<(), Interruption> {
        match self.stream_fault {
            Some(StreamFault::Stall(after)) if sent >= after => {
                tokio::select! {
                    _ = self.cancel.notified() => {}
                    _ = self.sender.closed() => {}
                }
                Err(Interruption::Cancelled)
            }
            Some(StreamFault::Truncate(after)) if sent >= after => Err(Interruption::Failed),
            Some(StreamFault::Crossed(after)) if sent >= after => {
                self.encoder.id = format!("other-{}", self.call.request_id);
                self.prompt = format!("other {}", self.prompt);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn send_token(&self, index: u32) -> Result<(), Interruption> {
        let body = &self.call.body;
        let token = tokens::token(&body.model, body.adapter.as_deref(), &self.prompt, index);
        self.sender.send(self.encoder.token_event(&token)).map_err(|_| Interruption::Cancelled)?;
        self.engine.ledger.lock().requests[self.record_index].tokens += 1;
        Ok(())
    }

    /// Sleeps for `duration`; fails if the request is cancelled or its model is lost.
    async fn sleep_unless_interrupted(&self, duration: Duration) -> Result<(), Interruption> {
        tokio::select! {
            biased;
            _ = self.cancel.notified() => return Err(Interruption::Cancelled),
            _ = self.sender.closed() => return Err(Interruption::Cancelled),
            _ = sleep(duration) => {}
        }
        let mut models = self.engine.models.lock();
        match models.resident_model(&self.call.body.model, self.generation) {
            Some(_) => Ok(()),
            None => Err(Interruption::Failed),
        }
    }
}

impl Engine {
    /// Registers an admitted request for cancellation and returns its job id.
    fn register_job(&self, call: &Call, cancel: &Arc<Notify>) -> u64 {
        let mut jobs = self.jobs.lock();
        jobs.last_id += 1;
        let id = jobs.last_id;
        let job = Job {
            request_id: call.request_id.clone(),
            remote: call.remote,
            cancel: Arc::clone(cancel),
        };
        jobs.by_id.insert(id, job);
        id
    }

    /// Adds an admitted request to the ledger and returns its index there.
    fn record_request(&self, call: &Call) -> usize {
        let record = RequestRecord {
            request_id: call.request_id.clone(),
            model: call.body.model.clone(),
            adapter: call.body.adapter.clone(),
            start_us: ledger::micros_since(self.started_at),
            resume_from: call.body.resume_from,
            ..RequestRecord::default()
        };
        let mut ledger = self.ledger.lock();
        ledger.requests.push(record);
        ledger.requests.len() - 1
    }
}
