//! Faults that a test orders with `POST /faults` or through the handle.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// A fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// Dies as soon as the next load has begun.
    DieInLoad,
    /// Dies now.
    Die,
    /// Loses all models and adapters without a word.
    LoseModels,
    /// Becomes as fresh as after a start.
    TurnCold,
    /// Open connections go silent for good, new ones work.
    Silent,
    /// The next requests send this many tokens and then nothing more, with the connection open.
    Stall {
        /// Tokens before the stall.
        tokens: u32,
        /// How many requests.
        requests: u32,
    },
    /// The next requests end after this many tokens without their terminal marker.
    Truncate {
        /// Tokens before the end.
        tokens: u32,
        /// How many requests.
        requests: u32,
    },
    /// The next requests get their first token late.
    Late {
        /// Delay in milliseconds.
        ms: u64,
        /// How many requests.
        requests: u32,
    },
    /// The next requests get the id and tokens of another request.
    Crossed {
        /// Tokens of their own answer before the other's.
        tokens: u32,
        /// How many requests.
        requests: u32,
    },
    /// Every request is refused with 503.
    Refuse {
        /// For how long, in milliseconds.
        ms: u64,
    },
    /// Each token takes this many times as long.
    Slow {
        /// Factor.
        factor: u32,
    },
    /// Ends all faults but those that have happened.
    Clear,
}

/// What a fault does to one request's stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Twist {
    /// Sends nothing after these tokens.
    Stall(u32),
    /// Ends after these tokens.
    Truncate(u32),
    /// Waits before the first token.
    Late(Duration),
    /// Turns to another request's answer after these tokens.
    Crossed(u32),
}

/// Faults in force.
#[derive(Debug)]
pub(crate) struct Faults {
    pub die_in_load: bool,
    pub slow: u32,
    refuse_until: Option<Instant>,
    twists: Vec<(Twist, u32)>,
}

impl Default for Faults {
    fn default() -> Self {
        Faults { die_in_load: false, slow: 1, refuse_until: None, twists: Vec::new() }
    }
}

impl Faults {
    /// Takes note of a fault that lies in the future.
    pub fn set(&mut self, fault: &Fault) {
        match *fault {
            Fault::DieInLoad => self.die_in_load = true,
            Fault::Stall { tokens, requests } => self.push(Twist::Stall(tokens), requests),
            Fault::Truncate { tokens, requests } => self.push(Twist::Truncate(tokens), requests),
            Fault::Crossed { tokens, requests } => self.push(Twist::Crossed(tokens), requests),
            Fault::Late { ms, requests } => {
                self.push(Twist::Late(Duration::from_millis(ms)), requests);
            }
            Fault::Refuse { ms } => {
                self.refuse_until = Some(Instant::now() + Duration::from_millis(ms));
            }
            Fault::Slow { factor } => self.slow = factor.max(1),
            Fault::Clear => *self = Faults::default(),
            Fault::Die | Fault::LoseModels | Fault::TurnCold | Fault::Silent => {}
        }
    }

    /// Whether requests are refused now.
    pub fn refuses(&self) -> bool {
        self.refuse_until.is_some_and(|until| Instant::now() < until)
    }

    /// The twist for the next request.
    pub fn next_twist(&mut self) -> Option<Twist> {
        let (twist, left) = self.twists.first_mut()?;
        let twist = *twist;
        *left -= 1;
        if *left == 0 {
            self.twists.remove(0);
        }
        Some(twist)
    }

    fn push(&mut self, twist: Twist, requests: u32) {
        if requests > 0 {
            self.twists.push((twist, requests));
        }
    }
}
