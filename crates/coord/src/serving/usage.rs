//! Counts the requests that engines ran, by team and window, and decides when the lease holder reports
//! which counts.
//!
//! Windows are divisions of true time, but the daemons' clocks differ by seconds. The store's clock is
//! common to all and steady, so each daemon reports the difference between its time of day and the
//! store's clock. The lease holder announces the median of these differences as the fleet's offset, and
//! every daemon counts by the store's clock plus that offset. The offset changes slowly once a window
//! was closed, so that all daemons agree on which windows are over, also after a change of the holder.
//!
//! A report must never be sent with two different contents. The holder therefore closes a window by
//! writing the exact content as a row that nobody overwrites, and sends only what the row holds. A store
//! that comes back from an older copy may lack the row of a window that was reported, so nobody but the
//! daemon that wrote the row reports a window which was over before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;

use crate::serving::duties;
use crate::serving::duties::Outcome;
use crate::time::Tick;

/// Time for which rows and counts of a window are kept at least, after its end.
const MIN_RETENTION: Duration = Duration::from_secs(60);
/// Time before the end of the retention from which no row is written any more, so that no daemon writes
/// a row that another one has deleted.
const WRITE_MARGIN: Duration = Duration::from_secs(10);
/// Time after a window's end before which it isn't closed.
const MIN_CLOSE: Duration = Duration::from_secs(1);
/// Time after a window's end at which it is closed without the counts of daemons that weren't heard.
const MAX_CLOSE: Duration = Duration::from_secs(6);
/// Time that a new holder gives the other daemons to report, which is two intervals and some delay.
const TERM_GRACE: Duration = Duration::from_millis(2_500);
/// Time after which a holder sets the first offset without the daemons that weren't heard.
const OFFSET_GRACE: Duration = Duration::from_secs(3);
/// Interval between two reports of a daemon to the holder.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Least time after the start of a process before it sets the first offset, in which it hears of the
/// others and of an earlier holder's offset.
const SETTLING: Duration = Duration::from_millis(1_500);
/// Divisor of the time that gives the largest change of the offset: 20 ms a second. A window is thereby
/// at most 2 % longer or shorter.
const SLEW_DIVISOR: i64 = 50;
/// Divisor of the time that gives the largest lead of the local clock over the store's.
const DRIFT_DIVISOR: i64 = 5_000;
/// Margin of the comparison between the end of a window and the store's restoration, for differences
/// between the offsets of two holders.
const RESTORE_MARGIN: Duration = Duration::from_secs(1);
/// Time after the start of a process for which it reports no window that ends, if it knows the fleet's
/// time from nobody and the fleet isn't new. An earlier fleet may have divided time otherwise, by as much
/// as the daemons' clocks differ.
const SKEW_MARGIN: Duration = Duration::from_secs(6);
/// Length of the spans in which requests are counted before the offset is known.
const PENDING_SPAN: u64 = 100_000;
/// Delay after a call to the store that failed.
const STORE_DELAY: Duration = Duration::from_millis(300);
/// Most reports that are sent at the same time.
const MAX_SENDING: usize = 3;
/// Time limit for the answer to a report; doubles with each repetition, up to the longest one.
const MIN_ANSWER_TIME: Duration = Duration::from_secs(2);
/// Longest time limit for the answer to a report.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(4);
/// Longest delay before a report is sent again while it can still arrive in time.
const MAX_TIMELY_DELAY: Duration = Duration::from_secs(2);

/// Most windows of a daemon's process whose counts are kept.
const MAX_WINDOWS: usize = 1_024;

/// Number of requests by team.
pub type Counts = BTreeMap<String, u64>;

/// Parameters of the reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageSettings {
    /// Length of a window, at least 1 ms.
    pub window: Duration,
    /// Time after a window's end by which its report must arrive.
    pub late: Duration,
    /// Whether the whole system starts for the first time, so that nothing was reported before.
    pub first_start: bool,
}

impl Default for UsageSettings {
    fn default() -> Self {
        UsageSettings {
            window: Duration::from_secs(5),
            late: Duration::from_secs(10),
            first_start: true,
        }
    }
}

/// What a daemon tells the lease holder.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Its time of day minus the store's clock, in milliseconds; `None` before the store was read.
    pub offset: Option<i64>,
    /// First window that it may still count in; the counts of those before are final.
    pub open: u64,
    /// Counts of windows that the holder hasn't closed, as far as there are any.
    pub windows: Vec<(u64, Counts)>,
    /// What an earlier holder announced, if the present one announces nothing. It may have started anew.
    pub state: Option<Announcement>,
}

/// Counts of a daemon's process that is no longer live, as another daemon has them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Relayed {
    /// Name of the daemon.
    pub name: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Sequence number of its report.
    pub number: u64,
    /// Its report.
    pub report: Report,
}

/// What the lease holder tells all daemons.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Announcement {
    /// True time minus the store's clock, in milliseconds.
    pub offset: i64,
    /// First window that isn't closed.
    pub closed: u64,
    /// First window whose report may still have to be sent.
    pub done: u64,
    /// Era of the store.
    pub era: u64,
    /// Time by the store's clock, in milliseconds, at which the era was known.
    pub since: u64,
}

/// Reason why a window isn't reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The store was restored since the window's end, so a report of it may have been lost.
    Restored,
    /// Its retention is over.
    Late,
}

impl Cause {
    /// Returns the cause's name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Restored => "restored",
            Cause::Late => "late",
        }
    }
}

/// What the lease holder does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Read all rows, then call [`Usage::record_rows`].
    ReadRows,
    /// Write a row unless it exists, then call [`Usage::record_write`].
    Write {
        /// Window of the row.
        window: u64,
        /// Content of the row.
        body: String,
        /// Era of the store in which the row may be written.
        era: u64,
        /// Windows whose rows are deleted in the same transaction.
        obsolete: Vec<u64>,
    },
    /// Read the row of a window, then call [`Usage::record_row`].
    ReadRow(u64),
    /// Send a report, then call [`Usage::record_answer`].
    Send {
        /// Window of the report.
        window: u64,
        /// Exact content.
        body: String,
        /// Time limit for the answer.
        limit: Duration,
    },
    /// Log that a window with counts isn't reported.
    LeaveAlone {
        /// The window.
        window: u64,
        /// Reason.
        cause: Cause,
        /// Known counts of all teams.
        sum: u64,
        /// Time since the window's end.
        age: Duration,
    },
}

/// Outcome of the write of a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The row was written in this era.
    Done(u64),
    /// The row exists.
    Exists,
    /// Nothing took effect.
    Unavailable,
    /// The write may take effect, also later.
    Unknown,
}

/// A report, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Summary {
    /// Counts of all teams; `None` if another holder summed them.
    pub sum: Option<u64>,
    /// Number of daemons whose counts are included, with this one.
    pub heard: usize,
    /// Time since the window's end.
    pub age: Duration,
    /// Number of times that the report was sent.
    pub attempts: u32,
}

/// Progress of a window's report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The row is to be written.
    Write,
    Writing,
    /// The row is to be read, since it exists or may exist.
    Read,
    Reading,
    /// The report is to be sent.
    Send,
    Sending,
    /// The report was accepted.
    Done,
    /// The window isn't reported by this daemon.
    LeftAlone,
}

#[derive(Clone, Debug)]
struct WindowReport {
    stage: Stage,
    body: String,
    /// Whether this daemon wrote the row.
    is_own: bool,
    attempts: u32,
    due: Tick,
    heard: usize,
    sum: Option<u64>,
}

impl WindowReport {
    fn new(stage: Stage, body: String) -> Self {
        WindowReport { stage, body, is_own: false, attempts: 0, due: Tick(0), heard: 0, sum: None }
    }

    fn is_closed(&self) -> bool {
        matches!(self.stage, Stage::Send | Stage::Sending | Stage::Done | Stage::LeftAlone)
    }

    fn is_done(&self) -> bool {
        matches!(self.stage, Stage::Done | Stage::LeftAlone)
    }
}

/// Latest report of a daemon's process.
#[derive(Clone, Debug, Default)]
struct Member {
    number: u64,
    heard: Tick,
    offset: Option<i64>,
    open: u64,
    windows: BTreeMap<u64, Counts>,
}

/// Time for which this daemon holds the lease with one token.
#[derive(Clone, Debug)]
struct Term {
    token: u64,
    began: Tick,
    /// Era in which the rows were read; `None` until then.
    era: Option<u64>,
    is_reading: bool,
    due: Tick,
    /// Windows whose rows the store holds.
    rows: BTreeSet<u64>,
}

/// Counts of one daemon, and its reports while it holds the lease.
#[derive(Clone, Debug)]
pub struct Usage {
    settings: UsageSettings,
    /// Reading of the store's clock, in milliseconds, with the least delay.
    clock: Option<(i64, Tick)>,
    era: Option<u64>,
    /// Time at which the era was known first, to this daemon or to a holder that it heard.
    era_seen: Tick,
    /// Era and the store's time at which it was known, as the holder or another daemon told.
    told_era: Option<(u64, u64)>,
    /// Time at which this daemon first read the store.
    started: Option<Tick>,
    /// Whether the store held no rows when this daemon first read them in a system that is new.
    is_new: Option<bool>,
    /// Whether the offset comes from an announcement.
    is_adopted: bool,
    /// This daemon's time of day minus the store's clock, in milliseconds.
    own_offset: Option<i64>,
    /// The fleet's offset, in milliseconds.
    offset: Option<i64>,
    /// Whether windows were divided by the offset, so that it changes slowly only.
    is_settled: bool,
    /// Time of the latest change of the offset by this daemon.
    slewed: Tick,
    /// Requests counted before the offset was known, by span and team.
    pending: IndexMap<(u64, String), u64>,
    counts: BTreeMap<u64, Counts>,
    /// First window that isn't closed; `None` until one was closed.
    closed: Option<u64>,
    /// First window whose report may still have to be sent.
    done: u64,
    /// Whether the holder announces nothing about usage.
    is_unannounced: bool,
    /// Time and open window of the latest report to the holder.
    sent: Option<(Tick, u64)>,
    /// Other daemons' processes by name and incarnation.
    members: IndexMap<(String, u64), Member>,
    term: Option<Term>,
    reports: BTreeMap<u64, WindowReport>,
}

impl Usage {
    /// Creates the state of a daemon that starts.
    pub fn new(settings: UsageSettings) -> Self {
        Usage {
            settings,
            clock: None,
            era: None,
            era_seen: Tick(0),
            told_era: None,
            started: None,
            is_new: None,
            is_adopted: false,
            own_offset: None,
            offset: None,
            is_settled: false,
            slewed: Tick(0),
            pending: IndexMap::new(),
            counts: BTreeMap::new(),
            closed: None,
            done: 0,
            is_unannounced: false,
            sent: None,
            members: IndexMap::new(),
            term: None,
            reports: BTreeMap::new(),
        }
    }

    /// Records a reading of the store's clock, in milliseconds, that arrived at `received` in an era
    /// which was seen at `now`. The reading with the least delay is kept.
    pub fn record_clock(&mut self, era: u64, store_ms: u64, received: Tick, now: Tick) {
        if self.era != Some(era) {
            self.started.get_or_insert(now);
            self.era = Some(era);
            self.era_seen = now;
            self.clock = None;
        }
        let reading = i64::try_from(store_ms).unwrap_or(i64::MAX);
        let is_better = self.clock.is_none_or(|(_, since)| {
            let drift = difference_ms(received, since) / DRIFT_DIVISOR;
            self.store_ms(received).is_none_or(|expected| reading >= expected - drift)
        });
        if is_better {
            self.clock = Some((reading, received));
            self.apply_told_era();
        }
        self.place_pending();
    }

    /// Records this daemon's time of day, in milliseconds since the start of 1970.
    pub fn record_time(&mut self, wall_ms: i64, now: Tick) {
        self.own_offset = self.store_ms(now).map(|store_ms| wall_ms.saturating_sub(store_ms));
    }

    fn store_ms(&self, at: Tick) -> Option<i64> {
        let (reading, received) = self.clock?;
        Some(reading.saturating_add(difference_ms(at, received)))
    }

    /// Returns the tick at a time of the store's clock.
    fn tick_of(&self, store_ms: u64) -> Option<Tick> {
        let (reading, received) = self.clock?;
        let left = i64::try_from(store_ms).ok()?.saturating_sub(reading);
        let span = Duration::from_millis(left.unsigned_abs());
        Some(if left < 0 { received - span } else { received + span })
    }

    fn true_ms(&self, at: Tick) -> Option<i64> {
        Some(self.store_ms(at)?.saturating_add(self.offset?))
    }

    fn window_ms(&self) -> i64 {
        millis(self.settings.window).max(1)
    }

    /// Returns the window at a time, or `None` while the fleet's offset isn't known.
    pub fn window_at(&self, at: Tick) -> Option<u64> {
        u64::try_from(self.true_ms(at)?.div_euclid(self.window_ms())).ok()
    }

    fn end_ms(&self, window: u64) -> i64 {
        i64::try_from(window.saturating_add(1)).unwrap_or(i64::MAX).saturating_mul(self.window_ms())
    }

    /// Returns the time since a window's end in milliseconds, negative before it.
    fn age_ms(&self, window: u64, now: Tick) -> Option<i64> {
        Some(self.true_ms(now)?.saturating_sub(self.end_ms(window)))
    }

    fn age(&self, window: u64, now: Tick) -> Duration {
        let age = self.age_ms(window, now).unwrap_or(0);
        Duration::from_millis(u64::try_from(age).unwrap_or(0))
    }

    fn retention(&self) -> Duration {
        MIN_RETENTION.max(self.settings.late * 3)
    }

    /// Counts a request that an engine ran for a team.
    pub fn count(&mut self, team: &str, now: Tick) {
        let Some(window) = self.window_at(now) else {
            let span = now.0 / PENDING_SPAN;
            if self.pending.last().is_some_and(|((last, _), _)| *last != span) {
                let oldest = (now - MIN_RETENTION).0 / PENDING_SPAN;
                self.pending.retain(|(span, _), _| *span >= oldest);
            }
            *self.pending.entry((span, team.to_owned())).or_default() += 1;
            return;
        };
        add(self.counts.entry(window).or_default(), team, 1);
    }

    /// Assigns the requests that were counted before the offset was known to windows.
    fn place_pending(&mut self) {
        if self.pending.is_empty() || self.true_ms(Tick(0)).is_none() {
            return;
        }
        for ((span, team), count) in std::mem::take(&mut self.pending) {
            if let Some(window) = self.window_at(Tick(span * PENDING_SPAN)) {
                add(self.counts.entry(window).or_default(), &team, count);
            }
        }
    }

    /// Returns the report to the lease holder if one is due: each second, and when a window ended.
    pub fn take_report(&mut self, now: Tick) -> Option<Report> {
        let open = self.window_at(now).unwrap_or(0);
        let is_due = self.sent.is_none_or(|(at, window)| {
            now.since(at) >= REPORT_INTERVAL || (window != open && open > 0)
        });
        if !is_due {
            return None;
        }
        self.sent = Some((now, open));
        let first = self.closed.unwrap_or(0);
        let windows = self.counts.range(first..).map(|(window, counts)| (*window, counts.clone()));
        let state = self.state().filter(|_| self.is_unannounced && self.is_settled);
        Some(Report { offset: self.own_offset, open, windows: windows.collect(), state })
    }

    /// Returns the counts of processes that are no longer live, for the lease holder. It may not have
    /// them, if they were sent to this daemon as a likely holder.
    pub fn relayed(&self, live: &[(String, u64)]) -> Vec<Relayed> {
        let gone = self
            .members
            .iter()
            .filter(|(process, member)| !member.windows.is_empty() && !live.contains(process));
        let relayed = gone.map(|((name, incarnation), member)| {
            let windows = member.windows.iter();
            let windows = windows.map(|(window, counts)| (*window, counts.clone())).collect();
            let report = Report { offset: None, open: member.open, windows, state: None };
            let (name, incarnation) = (name.clone(), *incarnation);
            Relayed { name, incarnation, number: member.number, report }
        });
        relayed.collect()
    }

    /// Makes the next report to the lease holder due at once.
    pub fn report_soon(&mut self) {
        self.sent = None;
    }

    /// Records the report of another daemon's process. `number` rises with each report.
    pub fn record_report(
        &mut self,
        name: &str,
        incarnation: u64,
        number: u64,
        report: Report,
        now: Tick,
    ) {
        let first = self.closed.unwrap_or(0);
        let member = self.members.entry((name.to_owned(), incarnation)).or_default();
        if number <= member.number {
            return;
        }
        member.number = number;
        member.heard = now;
        member.offset = report.offset;
        member.open = report.open;
        let reported = report.windows.into_iter().filter(|(window, _)| *window >= first);
        member.windows.extend(reported);
        while member.windows.len() > MAX_WINDOWS {
            member.windows.pop_first();
        }
        if let Some(state) = report.state {
            self.adopt(state, !self.is_settled, now);
        }
    }

    /// Returns what the lease holder announces. `None` if this daemon doesn't hold the lease or has
    /// nothing to announce yet.
    pub fn announcement(&self) -> Option<Announcement> {
        self.term.as_ref()?;
        self.state()
    }

    fn state(&self) -> Option<Announcement> {
        Some(Announcement {
            offset: self.offset?,
            closed: self.closed.unwrap_or(0),
            done: self.done,
            era: self.era?,
            since: u64::try_from(self.store_ms(self.era_seen)?).unwrap_or(0),
        })
    }

    /// Records an announcement of the lease holder. Windows that can't be over yet don't count as
    /// closed.
    pub fn record_announcement(&mut self, announcement: Announcement, now: Tick) {
        self.is_unannounced = false;
        if self.term.is_none() {
            self.adopt(announcement, true, now);
        }
    }

    /// Records that the lease holder announces nothing about usage.
    pub fn record_unannounced(&mut self) {
        if !self.is_unannounced {
            self.is_unannounced = true;
            self.report_soon();
        }
    }

    fn adopt(&mut self, announcement: Announcement, has_offset: bool, now: Tick) {
        if has_offset {
            self.offset = Some(announcement.offset);
            self.is_settled = true;
            self.is_adopted = true;
            self.slewed = now;
        }
        self.told_era = Some((announcement.era, announcement.since));
        self.apply_told_era();
        let Some(current) = self.window_at(now) else { return };
        let latest = current.saturating_add(1);
        self.done = self.done.max(announcement.done.min(latest));
        if announcement.closed > 0 {
            self.raise_closed(announcement.closed.min(latest));
        }
        self.place_pending();
    }

    /// Applies since when the era was known to a holder that this daemon heard.
    fn apply_told_era(&mut self) {
        let told = self.told_era.filter(|(era, _)| self.era == Some(*era));
        if let Some(seen) = told.and_then(|(_, since)| self.tick_of(since)) {
            self.era_seen = self.era_seen.min(seen);
        }
    }

    fn raise_closed(&mut self, closed: u64) {
        let closed = self.closed.map_or(closed, |known| known.max(closed));
        self.closed = Some(closed);
        self.counts.retain(|window, _| *window >= closed);
        for member in self.members.values_mut() {
            member.windows.retain(|window, _| *window >= closed);
        }
    }

    /// Advances the reports. `token` is that of the lease if this daemon holds it, `live` names the
    /// processes of the other live daemons, and `encode` makes the body of a window's counts.
    pub fn step(
        &mut self,
        token: Option<u64>,
        live: &[(String, u64)],
        encode: impl Fn(u64, &Counts) -> String,
        now: Tick,
    ) -> Vec<Step> {
        self.prune(now);
        let Some(token) = token else {
            self.term = None;
            return Vec::new();
        };
        if self.term.as_ref().is_none_or(|term| term.token != token) {
            self.begin_term(token, now);
        }
        self.steer(live, now);
        let Some(term) = &mut self.term else { return Vec::new() };
        let Some(era) = term.era else {
            let is_due = !term.is_reading && now >= term.due;
            term.is_reading |= is_due;
            return if is_due { vec![Step::ReadRows] } else { Vec::new() };
        };
        // What was read is void in another era; the lease gets another token there.
        if self.era != Some(era) || self.offset.is_none() {
            return Vec::new();
        }
        let mut steps = Vec::new();
        self.close_windows(live, encode, &mut steps, now);
        self.give_up(&mut steps, now);
        self.progress(era, &mut steps, now);
        self.update_bounds(now);
        steps
    }

    fn begin_term(&mut self, token: u64, now: Tick) {
        self.term = Some(Term {
            token,
            began: now,
            era: None,
            is_reading: false,
            due: now,
            rows: BTreeSet::new(),
        });
        // What a former term read is read again. Rows of this daemon are known to be its own.
        self.reports.retain(|_, report| report.is_own || report.stage == Stage::LeftAlone);
        for (window, report) in &mut self.reports {
            report.due = now;
            report.attempts = 0;
            if report.stage == Stage::Sending {
                report.stage = Stage::Send;
            }
            if report.stage == Stage::Send && *window < self.done {
                report.stage = Stage::Done;
            }
        }
    }

    /// Moves the fleet's offset towards the median of what live daemons reported.
    fn steer(&mut self, live: &[(String, u64)], now: Tick) {
        let Some(own) = self.own_offset else { return };
        let began = self.term.as_ref().map_or(now, |term| term.began);
        let members = live.iter().map(|process| self.members.get(process)?.offset);
        let reported: Vec<Option<i64>> = members.collect();
        let is_complete = reported.iter().all(Option::is_some);
        let mut offsets: Vec<i64> = reported.into_iter().flatten().chain([own]).collect();
        let median = median(&mut offsets);
        match self.offset {
            None if !is_complete && now.since(began) < OFFSET_GRACE => {}
            None if self.started.is_none_or(|started| now.since(started) < SETTLING) => {}
            Some(offset) if self.is_settled => {
                let step = difference_ms(now, self.slewed.max(began)) / SLEW_DIVISOR;
                if step > 0 {
                    self.offset = Some(
                        offset.saturating_add(median.saturating_sub(offset).clamp(-step, step)),
                    );
                    self.slewed = now;
                }
            }
            _ => {
                self.offset = Some(median);
                self.slewed = now;
            }
        }
        self.place_pending();
    }

    /// Closes the windows whose counts are complete, or that can't wait any longer.
    fn close_windows(
        &mut self,
        live: &[(String, u64)],
        encode: impl Fn(u64, &Counts) -> String,
        steps: &mut Vec<Step>,
        now: Tick,
    ) {
        let Some(current) = self.window_at(now) else { return };
        let Some(began) = self.term.as_ref().map(|term| term.began) else { return };
        // A daemon that has just started doesn't know yet which others are live.
        let is_settling = self.started.is_none_or(|started| now.since(started) < SETTLING);
        for window in self.oldest_window(now).max(self.closed.unwrap_or(0))..current {
            if self.reports.contains_key(&window) {
                continue;
            }
            if self.may_be_lost(window) {
                let sum = total(&self.sum(window).0);
                if sum > 0 {
                    let (cause, age) = (Cause::Restored, self.age(window, now));
                    steps.push(Step::LeaveAlone { window, cause, sum, age });
                }
                self.reports.insert(window, WindowReport::new(Stage::LeftAlone, String::new()));
                continue;
            }
            let age = self.age(window, now);
            let is_final = |process: &(String, u64)| {
                self.members.get(process).is_some_and(|member| member.open > window)
            };
            let latest = MAX_CLOSE.min(self.settings.late * 3 / 5);
            let is_over = age >= latest && now.since(began) >= TERM_GRACE;
            if !is_settling
                && age >= MIN_CLOSE.min(latest)
                && (is_over || live.iter().all(is_final))
            {
                let (counts, heard) = self.sum(window);
                let mut report = WindowReport::new(Stage::Write, encode(window, &counts));
                report.heard = heard;
                report.sum = Some(total(&counts));
                self.is_settled = true;
                self.reports.insert(window, report);
            }
        }
    }

    /// Returns the first window whose row may still be written.
    fn oldest_window(&self, now: Tick) -> u64 {
        let span = self.retention().saturating_sub(WRITE_MARGIN);
        let oldest_ms = self.true_ms(now).unwrap_or(0).saturating_sub(millis(span));
        u64::try_from(oldest_ms.div_euclid(self.window_ms())).unwrap_or(0)
    }

    /// Returns whether the store may lack the row of a window that isn't known.
    fn may_be_lost(&self, window: u64) -> bool {
        let mut safe = self.era_seen + RESTORE_MARGIN;
        if let Some(started) =
            self.started.filter(|_| !self.is_adopted && self.is_new != Some(true))
        {
            safe = safe.max(started + SKEW_MARGIN);
        }
        self.true_ms(safe).is_none_or(|safe| self.end_ms(window) <= safe)
    }

    /// Returns the known counts of a window and the number of daemons that they come from.
    fn sum(&self, window: u64) -> (Counts, usize) {
        let mut counts = self.counts.get(&window).cloned().unwrap_or_default();
        let mut heard = 1;
        for member in self.members.values() {
            heard += usize::from(member.open > window);
            for (team, count) in member.windows.get(&window).into_iter().flatten() {
                add(&mut counts, team, *count);
            }
        }
        (counts, heard)
    }

    /// Gives up reports whose retention is over, and those whose row isn't certain to be the only one. A
    /// write that arrives after a restoration may put a row in the place of a lost one.
    fn give_up(&mut self, steps: &mut Vec<Step>, now: Tick) {
        let retention = self.retention();
        let open = self.reports.iter().filter(|(_, report)| !report.is_done());
        let causes = open.filter_map(|(&window, report)| {
            let age = self.age(window, now);
            let is_doubtful = !report.is_own && self.may_be_lost(window);
            let cause = match (is_doubtful, age >= retention) {
                (true, _) => Cause::Restored,
                (false, true) => Cause::Late,
                (false, false) => return None,
            };
            Some((window, cause, age))
        });
        let given_up: Vec<(u64, Cause, Duration)> = causes.collect();
        for (window, cause, age) in given_up {
            let Some(report) = self.reports.get_mut(&window) else { continue };
            report.stage = Stage::LeftAlone;
            let sum = report.sum.unwrap_or(0);
            steps.push(Step::LeaveAlone { window, cause, sum, age });
        }
    }

    /// Begins the calls that are due. Reports that can arrive in time come before late ones.
    fn progress(&mut self, era: u64, steps: &mut Vec<Step>, now: Tick) {
        let retention = self.retention();
        let mut windows: Vec<(bool, u64)> = self
            .reports
            .iter()
            .filter(|(_, report)| report.due <= now)
            .map(|(window, _)| (self.age(*window, now) >= self.settings.late, *window))
            .collect();
        windows.sort_unstable();
        let mut sending =
            self.reports.values().filter(|report| report.stage == Stage::Sending).count();
        for (_, window) in windows {
            let rows = self.term.as_ref().map(|term| &term.rows);
            let obsolete = || -> Vec<u64> {
                let rows = rows.into_iter().flatten();
                rows.copied().filter(|row| self.age(*row, now) > retention).collect()
            };
            let stage = self.reports.get(&window).map(|report| report.stage);
            let obsolete = if stage == Some(Stage::Write) { obsolete() } else { Vec::new() };
            let Some(report) = self.reports.get_mut(&window) else { continue };
            match report.stage {
                Stage::Write => {
                    report.stage = Stage::Writing;
                    let body = report.body.clone();
                    steps.push(Step::Write { window, body, era, obsolete });
                }
                Stage::Read => {
                    report.stage = Stage::Reading;
                    steps.push(Step::ReadRow(window));
                }
                Stage::Send if sending < MAX_SENDING => {
                    sending += 1;
                    report.stage = Stage::Sending;
                    let limit = MIN_ANSWER_TIME * (1 << report.attempts.min(4));
                    let limit = limit.min(MAX_ANSWER_TIME);
                    steps.push(Step::Send { window, body: report.body.clone(), limit });
                }
                _ => {}
            }
        }
    }

    /// Updates which windows are closed and done.
    fn update_bounds(&mut self, now: Tick) {
        let Some(current) = self.window_at(now) else { return };
        // Windows before are left to the retention.
        let oldest = self.oldest_window(now);
        let first = |is_over: fn(&WindowReport) -> bool, known: u64| -> u64 {
            let mut next = known.max(oldest);
            while next < current && self.reports.get(&next).is_some_and(is_over) {
                next += 1;
            }
            next
        };
        let closed = first(WindowReport::is_closed, self.closed.unwrap_or(0));
        self.done = first(WindowReport::is_done, self.done);
        self.raise_closed(closed);
    }

    /// Removes what is older than the retention.
    fn prune(&mut self, now: Tick) {
        let retention = self.retention();
        self.members.retain(|_, member| now.since(member.heard) < retention);
        let Some(true_ms) = self.true_ms(now) else { return };
        let oldest_ms = true_ms.saturating_sub(millis(retention));
        let oldest = u64::try_from(oldest_ms.div_euclid(self.window_ms())).unwrap_or(0);
        self.counts.retain(|window, _| *window >= oldest);
        for member in self.members.values_mut() {
            member.windows.retain(|window, _| *window >= oldest);
        }
        // A report is kept for two windows more, in which it is given up.
        self.reports.retain(|window, _| window.saturating_add(2) >= oldest);
    }

    /// Records all rows, each as window and content, that were read in an era; `None` if the read
    /// failed.
    pub fn record_rows(&mut self, read: Option<(u64, Vec<(u64, String)>)>, now: Tick) {
        let Some(term) = &mut self.term else { return };
        term.is_reading = false;
        let Some((era, rows)) = read.filter(|(era, _)| self.era == Some(*era)) else {
            term.due = now + STORE_DELAY;
            return;
        };
        term.era = Some(era);
        self.is_new.get_or_insert(self.settings.first_start && rows.is_empty());
        term.rows = rows.iter().map(|(window, _)| *window).collect();
        for (window, body) in rows {
            if self.age(window, now) >= self.retention() {
                continue;
            }
            let stage = if window < self.done { Stage::Done } else { Stage::Send };
            match self.reports.get_mut(&window) {
                // A row of this daemon that was lost and written by another one.
                Some(report) if report.is_own && report.body != body => {
                    report.stage = Stage::LeftAlone;
                }
                Some(report) if report.is_own => {}
                _ => {
                    self.reports.insert(window, WindowReport::new(stage, body));
                }
            }
        }
    }

    /// Records the outcome of the write of a row with this content. That of a former term, which may
    /// have had another content, is ignored.
    pub fn record_write(&mut self, window: u64, body: &str, outcome: WriteOutcome, now: Tick) {
        let Some(term) = &mut self.term else { return };
        let Some(report) = self.reports.get_mut(&window) else { return };
        if report.stage != Stage::Writing || report.body != body {
            return;
        }
        match outcome {
            WriteOutcome::Done(era) if Some(era) == term.era => {
                term.rows.insert(window);
                report.stage = Stage::Send;
                report.is_own = true;
                report.due = now;
            }
            // The store was restored in between.
            WriteOutcome::Done(_) => report.stage = Stage::LeftAlone,
            WriteOutcome::Exists => {
                report.stage = Stage::Read;
                report.due = now;
            }
            WriteOutcome::Unavailable => {
                report.stage = Stage::Write;
                report.due = now + STORE_DELAY;
            }
            WriteOutcome::Unknown => {
                report.stage = Stage::Read;
                report.due = now + STORE_DELAY;
            }
        }
    }

    /// Records that the rows of windows were deleted.
    pub fn record_deleted(&mut self, windows: &[u64]) {
        if let Some(term) = &mut self.term {
            term.rows.retain(|window| !windows.contains(window));
        }
    }

    /// Records a read of a window's row in an era: its content if it exists. `None` if the read failed.
    pub fn record_row(&mut self, window: u64, read: Option<(u64, Option<String>)>, now: Tick) {
        let Some(term) = &mut self.term else { return };
        let Some(report) = self.reports.get_mut(&window) else { return };
        if report.stage != Stage::Reading {
            return;
        }
        match read.filter(|(era, _)| Some(*era) == term.era) {
            Some((_, Some(body))) => {
                term.rows.insert(window);
                if report.body != body {
                    (report.heard, report.sum) = (0, None);
                }
                report.body = body;
                report.stage = Stage::Send;
                report.due = now;
            }
            Some((_, None)) => {
                report.stage = Stage::Write;
                report.due = now;
            }
            None => {
                report.stage = Stage::Read;
                report.due = now + STORE_DELAY;
            }
        }
    }

    /// Records the outcome of a report. Returns what it contained; `None` if it isn't known any more.
    pub fn record_answer(&mut self, window: u64, outcome: Outcome, now: Tick) -> Option<Summary> {
        let age = self.age(window, now);
        let is_timely = age < self.settings.late;
        let report = self.reports.get_mut(&window)?;
        report.attempts = report.attempts.saturating_add(1);
        if matches!(report.stage, Stage::Send | Stage::Sending) {
            report.stage = Stage::Send;
            match outcome {
                Outcome::Accepted => report.stage = Stage::Done,
                // After a refusal because of the fence, a holder with another token sends it.
                Outcome::Fenced
                | Outcome::Limited
                | Outcome::Rejected
                | Outcome::Unanswered
                | Outcome::Unsent => {
                    let delay = duties::backoff(report.attempts);
                    let delay = if is_timely { delay.min(MAX_TIMELY_DELAY) } else { delay };
                    report.due = now + delay;
                }
            }
        }
        let WindowReport { sum, heard, attempts, .. } = *report;
        Some(Summary { sum, heard, age, attempts })
    }
}

fn add(counts: &mut Counts, team: &str, count: u64) {
    match counts.get_mut(team) {
        Some(total) => *total = total.saturating_add(count),
        None => {
            counts.insert(team.to_owned(), count);
        }
    }
}

fn total(counts: &Counts) -> u64 {
    counts.values().fold(0, |sum, count| sum.saturating_add(*count))
}

fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}

/// Returns the time from `earlier` to `later` in milliseconds, negative if it is the other way round.
fn difference_ms(later: Tick, earlier: Tick) -> i64 {
    millis(later.since(earlier)) - millis(earlier.since(later))
}

/// Returns the median of at least one value; of an even number, the mean of the two in the middle.
fn median(values: &mut [i64]) -> i64 {
    values.sort_unstable();
    let middle = values.len() / 2;
    match (values.len() % 2, middle.checked_sub(1)) {
        (0, Some(lower)) => {
            values[lower] / 2 + values[middle] / 2 + (values[lower] % 2 + values[middle] % 2) / 2
        }
        _ => values[middle],
    }
}
