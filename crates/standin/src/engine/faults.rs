//! Faults of an engine, which a test injects with `POST /faults` or through the engine's handle.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// A fault to inject into an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// The engine crashes as soon as the next model load starts.
    DieInLoad,
    /// The engine crashes immediately.
    Die,
    /// The engine drops all models and adapters from memory without reporting it.
    LoseModels,
    /// The engine empties its prefix cache and warms up again, as after a start.
    TurnCold,
    /// Open connections stop passing data permanently; new connections work.
    Silent,
    /// Open connections are closed; new connections work.
    Cut,
    /// The next requests send this many tokens and then hang with the connection open.
    Stall {
        /// Number of tokens sent before the stall.
        tokens: u32,
        /// Number of requests affected.
        requests: u32,
    },
    /// The responses to the next requests end after this many tokens, without the terminal
    /// `[DONE]` event.
    Truncate {
        /// Number of tokens sent before the end.
        tokens: u32,
        /// Number of requests affected.
        requests: u32,
    },
    /// The first token of the next requests is delayed.
    Late {
        /// Additional delay in milliseconds.
        ms: u64,
        /// Number of requests affected.
        requests: u32,
    },
    /// The next requests receive the id and tokens of another request.
    Crossed {
        /// Number of the request's own tokens sent before those of the other request.
        tokens: u32,
        /// Number of requests affected.
        requests: u32,
    },
    /// The next requests are answered with this response and don't run.
    Reply {
        /// Response in place of a stream.
        reply: Reply,
        /// Number of requests affected.
        requests: u32,
    },
    /// The previous response of a connection is written once more before the responses to the next
    /// requests on it.
    Repeat {
        /// Number of requests affected.
        requests: u32,
    },
    /// The latest response is written once more on each idle connection.
    RepeatIdle,
    /// Every request is rejected with status 503.
    Refuse {
        /// Duration in milliseconds.
        ms: u64,
    },
    /// Every token takes longer to generate.
    Slow {
        /// Factor on the time per token.
        factor: u32,
    },
    /// Clears all pending and active faults; effects that already happened remain.
    Clear,
}

/// A response in place of a stream. Its head echoes the id of the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Value of the header `content-type`.
    pub media: String,
    /// Response body, in which `{id}` stands for the id of the request.
    pub body: String,
}

/// A fault that applies to the response stream of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StreamFault {
    /// Hangs after this many tokens.
    Stall(u32),
    /// Ends the stream after this many tokens.
    Truncate(u32),
    /// Delays the first token.
    Late(Duration),
    /// Switches to the answer of another request after this many tokens.
    Crossed(u32),
}

/// Pending and active faults of an engine.
#[derive(Debug)]
pub(crate) struct Faults {
    /// Whether the next model load crashes the engine.
    pub die_in_load: bool,
    /// Factor on the time per token.
    pub token_slowdown: u32,
    refuse_until: Option<Instant>,
    /// Faults for upcoming requests, each with the number of requests left to affect.
    stream_faults: Vec<(StreamFault, u32)>,
    /// Responses to upcoming requests, each with the number of requests left to affect.
    replies: Vec<(Reply, u32)>,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            die_in_load: false,
            token_slowdown: 1,
            refuse_until: None,
            stream_faults: Vec::new(),
            replies: Vec::new(),
        }
    }
}

impl Faults {
    /// Records a fault that affects later requests or loads; immediate faults are ignored here.
    pub fn record(&mut self, fault: &Fault) {
        match *fault {
            Fault::DieInLoad => self.die_in_load = true,
            Fault::Reply { ref reply, requests } => {
                if requests > 0 {
                    self.replies.push((reply.clone(), requests));
                }
            }
            Fault::Stall { tokens, requests } => self.push(StreamFault::Stall(tokens), requests),
            Fault::Truncate { tokens, requests } => {
                self.push(StreamFault::Truncate(tokens), requests)
            }
            Fault::Crossed { tokens, requests } => {
                self.push(StreamFault::Crossed(tokens), requests)
            }
            Fault::Late { ms, requests } => {
                self.push(StreamFault::Late(Duration::from_millis(ms)), requests);
            }
            Fault::Refuse { ms } => {
                self.refuse_until = Some(Instant::now() + Duration::from_millis(ms));
            }
            Fault::Slow { factor } => self.token_slowdown = factor.max(1),
            Fault::Clear => *self = Faults::default(),
            Fault::Cut
            | Fault::Die
            | Fault::LoseModels
            | Fault::Repeat { .. }
            | Fault::RepeatIdle
            | Fault::Silent
            | Fault::TurnCold => {}
        }
    }

    /// Whether requests are rejected at this time.
    pub fn is_refusing(&self) -> bool {
        self.refuse_until.is_some_and(|until| Instant::now() < until)
    }

    /// Takes the stream fault for the next request, if any.
    pub fn next_stream_fault(&mut self) -> Option<StreamFault> {
        take_next(&mut self.stream_faults)
    }

    /// Takes the response to the next request, if any.
    pub fn next_reply(&mut self) -> Option<Reply> {
        take_next(&mut self.replies)
    }

    fn push(&mut self, stream_fault: StreamFault, requests: u32) {
        if requests > 0 {
            self.stream_faults.push((stream_fault, requests));
        }
    }
}

/// Takes the first of the pending faults for one request, if any.
fn take_next<T: Clone>(pending: &mut Vec<(T, u32)>) -> Option<T> {
    let (fault, remaining) = pending.first_mut()?;
    let fault = fault.clone();
    *remaining -= 1;
    if *remaining == 0 {
        pending.remove(0);
    }
    Some(fault)
}
