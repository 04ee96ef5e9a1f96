//! Which daemon orders loads and unloads.
//!
//! One row names the holder, its fencing token and a renewal number. The holder may act for a
//! short while after each renewal, counted from before the write was sent, on a clock that goes on
//! while the instance is suspended. Others watch the row's version, in the store or in the
//! holder's own word, and take the row over once it has stood still so long that the last order of
//! the holder lies a whole handover span back.

use std::time::Duration;

use crate::time::Tick;

/// Measures of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseSettings {
    /// Time between two renewals.
    pub renewal: Duration,
    /// Time for which a renewal lets its writer act.
    pub validity: Duration,
    /// Time that must lie between the orders of two holders.
    pub handover: Duration,
    /// Time without word from the holder after which the row is read.
    pub silence: Duration,
    /// By how much two clocks may differ over these spans.
    pub drift: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        LeaseSettings {
            renewal: Duration::from_millis(400),
            validity: Duration::from_millis(1_000),
            handover: Duration::from_secs(3),
            silence: Duration::from_millis(800),
            drift: Duration::from_millis(100),
        }
    }
}

/// The row's content.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaseRow {
    /// Instance name of the holder.
    pub holder: String,
    /// Fencing token: higher with each change of holder.
    pub token: u64,
    /// Whether the holder gave the lease up.
    pub released: bool,
}

/// A conditional write of the row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseWrite {
    /// Version that the row must have; 0 where it must not exist.
    pub expected: u64,
    /// New content.
    pub row: LeaseRow,
}

/// What is to be done next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing until the given time.
    Wait(Tick),
    /// Read the row.
    Read,
    /// Write the row.
    Write(LeaseWrite),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    Watching,
    /// Acts by `token` until `until`; `next` is the next renewal.
    Holding {
        token: u64,
        until: Tick,
        next: Tick,
    },
}

/// One daemon's side of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: LeaseSettings,
    name: String,
    role: Role,
    row: Option<LeaseRow>,
    version: u64,
    seen: Tick,
    read: Option<Tick>,
    rank: usize,
}

impl Lease {
    /// A daemon that has seen nothing yet.
    pub fn new(settings: LeaseSettings, name: &str, now: Tick) -> Self {
        Lease {
            settings,
            name: name.to_owned(),
            role: Role::Watching,
            row: None,
            version: 0,
            seen: now,
            read: None,
            rank: 0,
        }
    }

    /// Position among the daemons that may take over, so that few of them race.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// The fencing token by which orders may be sent now.
    pub fn token(&self, now: Tick) -> Option<u64> {
        match self.role {
            Role::Holding { token, until, .. } if now < until => Some(token),
            _ => None,
        }
    }

    /// Whether this daemon holds the lease, also where a renewal is overdue.
    pub fn is_holder(&self) -> bool {
        matches!(self.role, Role::Holding { .. })
    }

    /// The holder's name and the row's version, as far as they are known.
    pub fn seen(&self) -> (Option<&str>, u64) {
        (self.row.as_ref().map(|row| row.holder.as_str()), self.version)
    }

    /// What to do now.
    pub fn step(&self, now: Tick) -> Step {
        match self.role {
            Role::Holding { token, next, .. } => {
                if self.read.is_none() {
                    return Step::Read;
                }
                if now < next {
                    return Step::Wait(next);
                }
                let row = LeaseRow { holder: self.name.clone(), token, released: false };
                Step::Write(LeaseWrite { expected: self.version, row })
            }
            Role::Watching => self.watch(now),
        }
    }

    /// The store gave the row, `None` where it doesn't exist.
    pub fn found(&mut self, row: Option<LeaseRow>, version: u64, now: Tick) {
        self.read = Some(now);
        if version != self.version || self.row.is_none() {
            self.seen = now;
        }
        self.version = version;
        self.row = row;
        if self.is_holder() && self.row.as_ref().is_none_or(|row| row.holder != self.name) {
            self.role = Role::Watching;
        }
    }

    /// The holder told the version of its last renewal.
    pub fn hear(&mut self, holder: &str, token: u64, version: u64, now: Tick) {
        if self.is_holder() || version < self.version {
            return;
        }
        if version > self.version || self.row.is_none() {
            self.row = Some(LeaseRow { holder: holder.to_owned(), token, released: false });
            self.version = version;
        }
        self.seen = now;
        self.read = Some(now);
    }

    /// A write that was sent at `sent` took effect and gave the row `version`.
    pub fn written(&mut self, write: &LeaseWrite, version: u64, sent: Tick) {
        self.version = version;
        self.row = Some(write.row.clone());
        self.seen = sent;
        self.read = Some(sent);
        if write.row.released {
            self.role = Role::Watching;
            return;
        }
        self.role = Role::Holding {
            token: write.row.token,
            until: sent + self.settings.validity,
            next: sent + self.settings.renewal,
        };
    }

    /// A write was refused since the row has another version.
    pub fn refused(&mut self) {
        self.role = Role::Watching;
        self.read = None;
    }

    /// A write got no answer: it may have taken effect, or take effect later.
    pub fn unanswered(&mut self, now: Tick) {
        match &mut self.role {
            // The row tells whether the renewal took effect; until then the old one counts.
            Role::Holding { until, .. } if now < *until => self.read = None,
            _ => self.role = Role::Watching,
        }
        self.read = None;
    }

    /// The write that gives the lease up, for a daemon that holds it.
    pub fn release(&self) -> Option<LeaseWrite> {
        let Role::Holding { token, .. } = self.role else { return None };
        let row = LeaseRow { holder: self.name.clone(), token, released: true };
        Some(LeaseWrite { expected: self.version, row })
    }

    fn watch(&self, now: Tick) -> Step {
        let Some(read) = self.read else { return Step::Read };
        let Some(row) = &self.row else { return self.take(0) };
        if row.holder == self.name {
            // Orders of this instance before its restart are orders of the same holder.
            return self.take(row.token);
        }
        // A holder that falls silent may have renewed after its last word.
        let look = read + self.settings.silence;
        if now >= look {
            return Step::Read;
        }
        let due = self.seen + self.span(row);
        if now < due {
            return Step::Wait(due.min(look));
        }
        // The row is read once more before it is taken, so that a renewal isn't raced in vain.
        if now.since(read) > self.settings.renewal {
            return Step::Read;
        }
        self.take(row.token)
    }

    /// How long the row must have stood still before this daemon takes it.
    fn span(&self, row: &LeaseRow) -> Duration {
        let held = if row.released { Duration::ZERO } else { self.settings.validity };
        let turn = self.settings.drift * (self.rank as u32 + 1);
        self.settings.handover + held + turn
    }

    fn take(&self, token: u64) -> Step {
        let row = LeaseRow { holder: self.name.clone(), token: token + 1, released: false };
        Step::Write(LeaseWrite { expected: self.version, row })
    }
}
