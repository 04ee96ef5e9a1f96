//! Lease that decides which daemon orders loads and unloads.
//!
//! One row names the holder, its fencing token and the time at which its term expires by the
//! store's clock. The holder assumes the latest possible reading of that clock, so it stops in time
//! even after a delay; its own clock keeps running while the instance is suspended. Other daemons
//! assume the earliest possible reading and claim the row only a handover period after the expiry.
//! The handover period therefore always lies between the orders of two holders, without any
//! coordination, and a failed holder delays its successor by no more than the rest of its term.
//!
//! A store that is restored from an older copy begins a new era, in which versions are given out
//! again and the row may lack the latest terms. A fencing token therefore is the position of the row
//! that the claim replaces, which no other claim can replace, even if the row is lost. A token of the
//! current era shows that the row was written since the restoration. Until then only the last holder
//! may claim the lease at once, if nobody could succeed it before; the others wait as long as an
//! unknown holder's term may last, and the handover period.

use std::time::Duration;

use crate::serving::position::Position;
use crate::time::Tick;

/// Longest time from a reading of the store's clock to the end of a term: the term, the latency of the
/// holder's own reading and a margin. A row that names a later end wasn't written by a daemon.
const MAX_TIME_LEFT: Duration = Duration::from_secs(30);

/// Timing parameters of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseSettings {
    /// Time between two renewals.
    pub renewal: Duration,
    /// Length of a term, in addition to twice the latency of a call to the store.
    pub validity: Duration,
    /// Longest latency of a call that lengthens a term.
    pub max_latency: Duration,
    /// Least time between the orders of two holders.
    pub handover: Duration,
    /// Time after the first read of the row for which nobody claims a row that doesn't exist, so
    /// that daemons which start at the same time learn of each other's ranks.
    pub settling: Duration,
    /// Whether the whole fleet starts for the first time, so that a missing row had no holder.
    pub first_start: bool,
    /// Largest clock drift over the other durations. It is also the delay between successive
    /// candidates that try to claim an expired lease.
    pub drift: Duration,
}

impl LeaseSettings {
    /// Returns the longest time for which a holder acts after it prepared the write of its row.
    fn max_term(&self) -> Duration {
        self.validity + self.max_latency * 2
    }
}

impl Default for LeaseSettings {
    fn default() -> Self {
        LeaseSettings {
            renewal: Duration::from_millis(300),
            validity: Duration::from_millis(800),
            max_latency: Duration::from_millis(1_500),
            handover: Duration::from_secs(3),
            settling: Duration::from_millis(1_500),
            first_start: true,
            drift: Duration::from_millis(60),
        }
    }
}

/// Time by the store's clock, in milliseconds since an arbitrary epoch.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreTime(pub u64);

impl StoreTime {
    fn after(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        StoreTime(self.0.saturating_add(millis))
    }
}

/// Reading of the store's clock, taken between two local ticks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// Time that the store returned.
    pub time: StoreTime,
    /// When the call was sent.
    pub sent: Tick,
    /// When the response arrived.
    pub received: Tick,
}

impl ClockReading {
    /// Returns the latest possible time by the store's clock at `now`.
    fn latest(&self, now: Tick) -> StoreTime {
        self.time.after(now.since(self.sent))
    }

    /// Returns how long the call took.
    fn latency(&self) -> Duration {
        self.received.since(self.sent)
    }

    /// Returns the tick from which on the store's clock is certain to have reached `time`.
    fn earliest_tick(&self, time: StoreTime) -> Tick {
        self.received + Duration::from_millis(time.0.saturating_sub(self.time.0))
    }
}

/// Content of the lease row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaseRow {
    /// Instance name of the holder.
    pub holder: String,
    /// Fencing token; increases with each change of holder, through restorations of the store.
    pub token: u64,
    /// Time at which the holder's term expires.
    pub until: StoreTime,
}

/// Conditional write of the lease row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseWrite {
    /// Version that the row must have; 0 if it must not exist.
    pub expected: u64,
    /// Era of the store in which it had that version. In a later one the write is void.
    pub era: u64,
    /// Content to write.
    pub row: LeaseRow,
}

/// Next step of the lease protocol.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Do nothing until the given time.
    Wait(Tick),
    /// Read the row.
    Read,
    /// Write the row.
    Write(LeaseWrite),
}

/// Latest known state of the row.
#[derive(Clone, Debug, Default)]
struct RowSnapshot {
    row: Option<LeaseRow>,
    position: Position,
}

/// State of one daemon in the lease protocol.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: LeaseSettings,
    name: String,
    /// Fencing token under which this daemon holds the lease, if it does.
    held_token: Option<u64>,
    /// Time of the next renewal.
    next_renewal: Tick,
    snapshot: RowSnapshot,
    clock: Option<ClockReading>,
    /// Latest known era of the store; `None` until the row was read.
    era: Option<u64>,
    /// Whether the era changed since this daemon started.
    restored: bool,
    /// Time from which on any daemon may claim the lease, while the row isn't of this era.
    unclear_until: Option<Tick>,
    /// Whether this daemon was the last holder when the era changed.
    was_last: bool,
    /// Time of the first read of the row.
    first_read: Option<Tick>,
    /// Whether the row must be read before the next write.
    must_read: bool,
    rank: usize,
}

impl Lease {
    /// Creates the state of a daemon that hasn't read the row yet.
    pub fn new(settings: LeaseSettings, name: &str) -> Self {
        Lease {
            settings,
            name: name.to_owned(),
            held_token: None,
            next_renewal: Tick(0),
            snapshot: RowSnapshot::default(),
            clock: None,
            era: None,
            restored: false,
            unclear_until: None,
            was_last: false,
            first_read: None,
            must_read: true,
            rank: 0,
        }
    }

    /// Sets this daemon's rank among the candidates. Candidates claim an expired lease in the order
    /// of their ranks, so that few of them compete.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// Returns the fencing token for orders sent now, or `None` if this daemon doesn't hold the
    /// lease.
    pub fn token(&self, now: Tick) -> Option<u64> {
        let (clock, row) = (self.clock?, self.snapshot.row.as_ref()?);
        self.held_token.filter(|_| clock.latest(now) < row.until)
    }

    /// Returns the position of the row and the time at which its holder's term expires.
    pub fn last_seen(&self) -> (Position, StoreTime) {
        (self.snapshot.position, self.snapshot.row.as_ref().map_or(StoreTime(0), |row| row.until))
    }

    /// Returns the name of the latest known holder.
    pub fn holder(&self) -> Option<&str> {
        self.snapshot.row.as_ref().map(|row| row.holder.as_str())
    }

    /// Returns the time from which on another daemon may hold the lease, if its term seems to have
    /// expired: no announcement has renewed it for `lag`, the longest delay of announcements.
    pub fn vacant_until(&self, lag: Duration, now: Tick) -> Option<Tick> {
        let (clock, row) = (self.clock?, self.snapshot.row.as_ref()?);
        let claimable = clock.earliest_tick(row.until.after(self.settings.handover));
        let expired = clock.earliest_tick(row.until.after(lag));
        (self.held_token.is_none() && now > expired && now < claimable).then_some(claimable)
    }

    /// Returns the step that is due now.
    pub fn step(&self, now: Tick) -> Step {
        let Some(clock) = self.clock.filter(|_| !self.must_read) else { return Step::Read };
        if let Some(claimable) = self.unclear_until {
            return self.await_clear_term(claimable, clock, now);
        }
        match (self.held_token, &self.snapshot.row) {
            (Some(token), Some(_)) if now >= self.next_renewal => {
                self.prepare_write(token, clock, now)
            }
            (Some(_), Some(_)) => Step::Wait(self.next_renewal),
            (_, None) => self.await_candidates(clock, now),
            // This instance held the lease before it restarted, so no handover period is needed.
            (None, Some(row)) if row.holder == self.name => {
                self.prepare_write(self.next_token(), clock, now)
            }
            (None, Some(row)) => self.await_expiry(row, clock, now),
        }
    }

    /// Processes a read of the row; `None` if it doesn't exist. Its position has the era of the read.
    pub fn record_read(&mut self, row: Option<LeaseRow>, position: Position, clock: ClockReading) {
        if !self.record_era(position.era, clock.received) {
            return;
        }
        let row = row.map(|row| self.limit_term(row, position, clock));
        self.clock = Some(clock);
        self.first_read.get_or_insert(clock.sent);
        self.must_read = false;
        self.snapshot = RowSnapshot { row, position };
        if self.is_of_this_era() {
            self.end_unclear_term();
        } else {
            let latest = clock.received + self.settings.max_term() + self.settings.handover;
            self.unclear_until.get_or_insert(latest);
        }
        let own = self.snapshot.row.as_ref().filter(|row| row.holder == self.name);
        self.held_token =
            self.held_token.filter(|token| own.is_some_and(|row| row.token == *token));
    }

    /// Limits the term of a row that was read at `position`. The limit is that of the row's first
    /// read, so that the term ends however often the row is read.
    fn limit_term(&self, row: LeaseRow, position: Position, clock: ClockReading) -> LeaseRow {
        let known = self.snapshot.row.as_ref().filter(|_| position == self.snapshot.position);
        let limit = known.map_or(clock.time.after(MAX_TIME_LEFT), |known| known.until);
        LeaseRow { until: row.until.min(limit), ..row }
    }

    /// Processes a renewal that the holder announced to the other daemons.
    pub fn record_announcement(&mut self, row: LeaseRow, position: Position, now: Tick) {
        if !self.record_era(position.era, now) {
            return;
        }
        if self.held_token.is_none() && position > self.snapshot.position {
            self.snapshot = RowSnapshot { row: Some(row), position };
            if self.is_of_this_era() {
                self.end_unclear_term();
            }
        }
    }

    /// Processes a successful write, which gave the row this position.
    pub fn record_write(&mut self, write: &LeaseWrite, position: Position, clock: ClockReading) {
        // The version that the write depended on was given out again in a later era.
        if Some(position.era) != self.era {
            self.record_era(position.era, clock.received);
            return;
        }
        self.clock = Some(clock);
        self.snapshot = RowSnapshot { row: Some(write.row.clone()), position };
        self.end_unclear_term();
        self.held_token = Some(write.row.token);
        self.next_renewal = clock.sent + self.settings.renewal;
    }

    /// Processes a write that was rejected in an era of the store because the row has another
    /// version.
    pub fn record_conflict(&mut self, era: u64, now: Tick) {
        self.record_era(era, now);
        self.record_fenced();
    }

    /// Processes an engine's refusal because of a higher fencing token.
    pub fn record_fenced(&mut self) {
        self.held_token = None;
        self.must_read = true;
    }

    /// Processes a write without a response. It may have taken effect, or may do so later.
    pub fn record_timeout(&mut self) {
        self.must_read = true;
    }

    /// Gives up the lease and returns the write that releases it, or `None` if this daemon doesn't
    /// hold the lease.
    pub fn release(&mut self, now: Tick) -> Option<LeaseWrite> {
        let (token, clock) = (self.held_token.take()?, self.clock?);
        let until = clock.latest(now);
        let row = LeaseRow { holder: self.name.clone(), token, until };
        self.must_read = true;
        Some(self.conditional_write(row))
    }

    /// Processes the era of any response of the store. Returns whether it is the latest one. In a new
    /// era, everything that was read before is void.
    pub fn record_era(&mut self, era: u64, now: Tick) -> bool {
        let Some(known) = self.era.replace(era) else { return true };
        if era <= known {
            self.era = Some(known);
            return era == known;
        }
        self.was_last = self.is_last(now);
        self.unclear_until = Some(now + self.settings.max_term() + self.settings.handover);
        self.restored = true;
        self.held_token = None;
        self.snapshot = RowSnapshot::default();
        self.clock = None;
        self.must_read = true;
        true
    }

    /// Records that the latest holder is known.
    fn end_unclear_term(&mut self) {
        self.unclear_until = None;
        self.was_last = false;
    }

    /// Returns whether this daemon held the lease last, so recently that nobody can have succeeded it.
    fn is_last(&self, now: Tick) -> bool {
        let (Some(clock), Some(row)) = (self.clock, &self.snapshot.row) else { return false };
        self.held_token.is_some() && clock.latest(now) < row.until.after(self.settings.handover)
    }

    /// Returns whether the row was written in the current era, so that it names the latest holder.
    fn is_of_this_era(&self) -> bool {
        match &self.snapshot.row {
            Some(row) => row.token >= self.token_after(0),
            None => self.settings.first_start && !self.restored,
        }
    }

    /// Returns the token of the holder that replaces a row of this version in the current era.
    fn token_after(&self, version: u64) -> u64 {
        Position { era: self.era.unwrap_or(0), version: version.saturating_add(1) }.to_number()
    }

    /// Returns the token of the next holder.
    fn next_token(&self) -> u64 {
        self.token_after(self.snapshot.position.version)
    }

    /// Claims a row that may lack the latest terms: at once if this daemon held the last one, else
    /// after the longest possible term and the handover period, in the order of the ranks.
    fn await_clear_term(&self, claimable: Tick, clock: ClockReading, now: Tick) -> Step {
        if self.was_last {
            return self.prepare_write(self.next_token(), clock, now);
        }
        let claim_at = claimable + self.settings.drift * (self.rank as u32 + 1);
        if now < claim_at {
            return Step::Wait(claim_at);
        }
        // Another daemon may have written the row, so it is read before it is claimed.
        if now.since(clock.received) > self.settings.drift {
            return Step::Read;
        }
        self.prepare_write(self.next_token(), clock, now)
    }

    /// Claims a row that doesn't exist after the settling time, in the order of the ranks.
    fn await_candidates(&self, clock: ClockReading, now: Tick) -> Step {
        let first_read = self.first_read.unwrap_or(clock.sent);
        let claim_at = first_read + self.settings.settling + self.settings.drift * self.rank as u32;
        if now < claim_at {
            return Step::Wait(claim_at);
        }
        // A candidate with a lower rank may have written the row, so it is read before it is
        // claimed.
        if now.since(clock.received) > self.settings.drift {
            return Step::Read;
        }
        self.prepare_write(self.next_token(), clock, now)
    }

    fn await_expiry(&self, row: &LeaseRow, clock: ClockReading, now: Tick) -> Step {
        let claimable = row.until.after(self.settings.handover);
        if clock.time < claimable {
            let stagger = self.settings.drift * (self.rank as u32 + 1);
            let read_at = clock.earliest_tick(claimable) + stagger;
            return if now < read_at { Step::Wait(read_at) } else { Step::Read };
        }
        // The holder may have renewed the lease without its announcement arriving, so the row is
        // read before it is claimed.
        if now.since(clock.received) > self.settings.drift {
            return Step::Read;
        }
        self.prepare_write(self.next_token(), clock, now)
    }

    fn prepare_write(&self, token: u64, clock: ClockReading, now: Tick) -> Step {
        // The next renewal must complete before this term expires, even if the store is slow.
        let latency = clock.latency().min(self.settings.max_latency);
        let validity = self.settings.validity + latency * 2;
        let until = clock.latest(now).after(validity);
        let row = LeaseRow { holder: self.name.clone(), token, until };
        Step::Write(self.conditional_write(row))
    }

    fn conditional_write(&self, row: LeaseRow) -> LeaseWrite {
        let expected = self.snapshot.position.version;
        LeaseWrite { expected, era: self.era.unwrap_or(0), row }
    }
}
