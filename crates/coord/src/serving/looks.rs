//! How often a daemon reads the engines' entries itself.
//!
//! Engines rewrite their entries all the time, so each look brings something. The holder of the
//! lease looks as often as it can and tells the others what changed; they look for themselves where
//! they don't hear it, missed some of it, or it can't read the entries either.

use std::time::Duration;

use crate::time::Tick;

/// Least time between two looks of the holder.
const SHORTEST: Duration = Duration::from_millis(40);
/// Time between two looks of a daemon that is told, which repair what telling may have missed.
const TOLD: Duration = Duration::from_secs(6);
/// Time between two looks of a daemon that isn't told, for each daemon of the fleet: all of them
/// together ask the store a hundred times a second.
const ALONE: Duration = Duration::from_millis(10);
/// Part of the time within which a leaving engine must get nothing new that lies between two looks
/// of a daemon that isn't told.
const ALONE_SHARE: f64 = 0.25;
/// Part of that time by which the holder's last read may be old.
const AGE_SHARE: f64 = 0.5;
/// Pauses between words after which a holder that isn't heard counts as silent.
const SILENT_PAUSES: u32 = 3;

/// What the time between two looks depends on besides what was heard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// Daemons.
    pub size: usize,
    /// Time between two words of a daemon.
    pub pause: Duration,
    /// Time within which a leaving engine must get nothing new.
    pub drain: Duration,
}

/// What a daemon heard from the holder of the engines' entries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Told {
    /// When the holder was last heard.
    at: Option<Tick>,
    /// How old the holder's own read was then.
    age: Duration,
    /// Fencing token of the holder.
    token: u64,
    /// Changes that it told so far.
    count: u64,
    /// Whether some of them were missed.
    missed: bool,
}

/// A look under way.
#[derive(Debug)]
pub struct Look {
    missed: bool,
}

impl Told {
    /// The last change taken in from the holder with this token.
    pub fn last(&self, token: u64) -> u64 {
        if self.token == token {
            self.count
        } else {
            0
        }
    }

    /// Takes a word in that lists the changes from `first` to `count`.
    pub fn hear(&mut self, token: u64, first: u64, count: u64, age: Duration, now: Tick) {
        // What a new holder told before can't be known.
        self.missed |= self.token != token || first > self.count + 1;
        // Words may overtake each other.
        let count = count.max(self.last(token));
        *self = Told { at: Some(now), age, token, count, missed: self.missed };
    }

    /// A look begins, which brings everything up to now unless it fails.
    pub fn look(&mut self) -> Look {
        Look { missed: std::mem::take(&mut self.missed) }
    }

    /// A look failed: what was missed before still is.
    pub fn fail(&mut self, look: Look) {
        self.missed |= look.missed;
    }

    /// Time between two looks of the holder, or of another daemon.
    pub fn gap(&self, holds: bool, fleet: Fleet, now: Tick) -> Duration {
        if holds {
            return SHORTEST;
        }
        let since = self.at.map(|at| now.since(at));
        let told = since.is_some_and(|since| {
            let fresh = since + self.age < fleet.drain.mul_f64(AGE_SHARE);
            fresh && since < fleet.pause * SILENT_PAUSES
        });
        if told && !self.missed {
            return TOLD;
        }
        let most = fleet.drain.mul_f64(ALONE_SHARE).max(SHORTEST);
        (ALONE * fleet.size as u32).clamp(SHORTEST, most)
    }
}
