//! Which daemon orders loads and unloads.
//!
//! One row names the holder, its fencing token, and the time until which the holder acts, by the
//! store's clock. The holder reads that clock as late as it can be and so stops in time, whatever
//! held it up; its own clock goes on while the instance is suspended. Others may take the row over
//! a handover span after that time, and read the store's clock as early as it can be. So the span
//! between the orders of two holders needs no watching, and a holder's silence costs no more than
//! what is left of its time.

use std::time::Duration;

use crate::time::Tick;

/// Measures of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseSettings {
    /// Time between two renewals.
    pub renewal: Duration,
    /// Time for which a renewal lets its writer act, besides two calls to the store.
    pub validity: Duration,
    /// Time that must lie between the orders of two holders.
    pub handover: Duration,
    /// By how much two clocks may differ over these spans, and the pause between two daemons that
    /// would take over at once.
    pub drift: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        LeaseSettings {
            renewal: Duration::from_millis(300),
            validity: Duration::from_millis(800),
            handover: Duration::from_secs(3),
            drift: Duration::from_millis(60),
        }
    }
}

/// A reading of the store's clock, in milliseconds since an origin of its own.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreTime(pub u64);

impl StoreTime {
    fn after(self, span: Duration) -> Self {
        StoreTime(self.0 + span.as_millis() as u64)
    }
}

/// A reading of the store's clock, which the store made between two ticks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// What the clock said.
    pub time: StoreTime,
    /// When the call was sent.
    pub sent: Tick,
    /// When its answer came.
    pub received: Tick,
}

impl ClockReading {
    /// The latest that the clock can say at `now`.
    fn latest(&self, now: Tick) -> StoreTime {
        self.time.after(now.since(self.sent))
    }

    /// How long the call took.
    fn latency(&self) -> Duration {
        self.received.since(self.sent)
    }

    /// The tick from which on the clock certainly says `time`.
    fn earliest_tick(&self, time: StoreTime) -> Tick {
        self.received + Duration::from_millis(time.0.saturating_sub(self.time.0))
    }
}

/// The row's content.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaseRow {
    /// Instance name of the holder.
    pub holder: String,
    /// Fencing token: higher with each change of holder.
    pub token: u64,
    /// Time until which the holder acts.
    pub until: StoreTime,
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

/// The row as it was last seen.
#[derive(Clone, Debug, Default)]
struct RowSnapshot {
    row: Option<LeaseRow>,
    version: u64,
}

/// One daemon's side of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: LeaseSettings,
    name: String,
    /// Token by which this daemon holds the lease.
    held_token: Option<u64>,
    /// When the next renewal is due.
    next_renewal: Tick,
    snapshot: RowSnapshot,
    clock: Option<ClockReading>,
    /// Whether the row must be read before anything is written.
    must_read: bool,
    rank: usize,
}

impl Lease {
    /// A daemon that has seen nothing yet.
    pub fn new(settings: LeaseSettings, name: &str) -> Self {
        Lease {
            settings,
            name: name.to_owned(),
            held_token: None,
            next_renewal: Tick(0),
            snapshot: RowSnapshot::default(),
            clock: None,
            must_read: true,
            rank: 0,
        }
    }

    /// Position among the daemons that may take over, so that few of them race.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// The fencing token by which orders may be sent now.
    pub fn token(&self, now: Tick) -> Option<u64> {
        let (clock, row) = (self.clock?, self.snapshot.row.as_ref()?);
        self.held_token.filter(|_| clock.latest(now) < row.until)
    }

    /// The row's version, and the time until which its holder acts.
    pub fn last_seen(&self) -> (u64, StoreTime) {
        (self.snapshot.version, self.snapshot.row.as_ref().map_or(StoreTime(0), |row| row.until))
    }

    /// Name of the holder, as far as it is known.
    pub fn holder(&self) -> Option<&str> {
        self.snapshot.row.as_ref().map(|row| row.holder.as_str())
    }

    /// What to do now.
    pub fn step(&self, now: Tick) -> Step {
        let Some(clock) = self.clock.filter(|_| !self.must_read) else { return Step::Read };
        match (self.held_token, &self.snapshot.row) {
            (Some(token), Some(_)) if now >= self.next_renewal => {
                self.prepare_write(token, clock, now)
            }
            (Some(_), Some(_)) => Step::Wait(self.next_renewal),
            (_, None) => self.prepare_write(1, clock, now),
            // Orders of this instance before its restart are orders of the same holder.
            (None, Some(row)) if row.holder == self.name => {
                self.prepare_write(row.token + 1, clock, now)
            }
            (None, Some(row)) => self.await_expiry(row, clock, now),
        }
    }

    /// The store gave the row, `None` where it doesn't exist.
    pub fn record_read(&mut self, row: Option<LeaseRow>, version: u64, clock: ClockReading) {
        self.clock = Some(clock);
        self.must_read = false;
        self.snapshot = RowSnapshot { row, version };
        let own = self.snapshot.row.as_ref().filter(|row| row.holder == self.name);
        self.held_token =
            self.held_token.filter(|token| own.is_some_and(|row| row.token == *token));
    }

    /// The holder told of its last renewal.
    pub fn record_announcement(&mut self, row: LeaseRow, version: u64) {
        if self.held_token.is_none() && version > self.snapshot.version {
            self.snapshot = RowSnapshot { row: Some(row), version };
        }
    }

    /// A write took effect and gave the row `version`.
    pub fn record_write(&mut self, write: &LeaseWrite, version: u64, clock: ClockReading) {
        self.clock = Some(clock);
        self.snapshot = RowSnapshot { row: Some(write.row.clone()), version };
        self.held_token = Some(write.row.token);
        self.next_renewal = clock.sent + self.settings.renewal;
    }

    /// A write was refused since the row has another version.
    pub fn record_conflict(&mut self) {
        self.held_token = None;
        self.must_read = true;
    }

    /// A write got no answer: it may have taken effect, or take effect later.
    pub fn record_timeout(&mut self) {
        self.must_read = true;
    }

    /// The write that gives the lease up, for a daemon that holds it; it orders no more.
    pub fn release(&mut self, now: Tick) -> Option<LeaseWrite> {
        let (token, clock) = (self.held_token.take()?, self.clock?);
        let until = clock.latest(now);
        let row = LeaseRow { holder: self.name.clone(), token, until };
        self.must_read = true;
        Some(LeaseWrite { expected: self.snapshot.version, row })
    }

    fn await_expiry(&self, row: &LeaseRow, clock: ClockReading, now: Tick) -> Step {
        let claimable = row.until.after(self.settings.handover);
        if clock.time < claimable {
            let stagger = self.settings.drift * (self.rank as u32 + 1);
            let read_at = clock.earliest_tick(claimable) + stagger;
            return if now < read_at { Step::Wait(read_at) } else { Step::Read };
        }
        // The row is read before it is taken, since its holder may have renewed it unheard.
        if now.since(clock.received) > self.settings.drift {
            return Step::Read;
        }
        self.prepare_write(row.token + 1, clock, now)
    }

    fn prepare_write(&self, token: u64, clock: ClockReading, now: Tick) -> Step {
        // A renewal must be back before the last one is over, also where the store is slow.
        let validity = self.settings.validity + clock.latency() * 2;
        let until = clock.latest(now).after(validity);
        let row = LeaseRow { holder: self.name.clone(), token, until };
        Step::Write(LeaseWrite { expected: self.snapshot.version, row })
    }
}
