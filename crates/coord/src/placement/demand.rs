//! Demand for one model: waiting and running requests by router, and the time of last use.

use std::time::Duration;

use indexmap::IndexMap;

use crate::time::Tick;

use super::keep_alive::GapHistogram;

/// Last demand report of a router.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Number of requests that wait at the router.
    pub waiting: u32,
    /// Number of requests that run through the router.
    pub running: u32,
    /// When the report was received.
    pub received_at: Tick,
}

impl Report {
    /// Number of requests that wait or run.
    fn requests(&self) -> u32 {
        self.waiting.saturating_add(self.running)
    }
}

/// Requests that arrive within this time after the end of a gap count as callers of that gap.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(2);

/// Burst of requests at the end of a gap.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ArrivalBurst {
    /// Histogram bucket of the gap.
    bucket: usize,
    started_at: Tick,
    /// Callers added to the bucket so far.
    counted: u32,
}

/// Demand for one model over all routers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Newest report of each router, by the router's name.
    pub reports: IndexMap<String, Report>,
    /// Since when requests wait; the longest wait is placed first.
    pub waiting_since: Option<Tick>,
    /// When a request last waited or ran.
    pub last_used: Option<Tick>,
    /// Since when the requests would fit on one replica fewer.
    pub surplus_since: Option<Tick>,
    /// Histogram of the gaps between uses.
    pub gaps: GapHistogram,
    /// Burst at the end of the newest gap.
    burst: Option<ArrivalBurst>,
}

impl Demand {
    /// Records a router's report. A use after a pause is counted as a gap.
    pub fn record_report(
        &mut self,
        now: Tick,
        router: &str,
        waiting: u32,
        running: u32,
        ttl: Duration,
    ) {
        let report = Report { waiting, running, received_at: now };
        if report.requests() > 0 {
            self.record_use(now);
        }
        self.reports.insert(router.to_owned(), report);
        self.expire_reports(now, ttl);
        self.count_callers(now);
    }

    /// Records a use at `now`.
    pub fn record_use(&mut self, now: Tick) {
        if let Some(last_used) = self.last_used {
            let gap = now.since(last_used);
            if gap > Duration::from_secs(1) {
                let bucket = self.gaps.record(gap);
                self.burst = Some(ArrivalBurst { bucket, started_at: now, counted: 0 });
            }
        }
        self.last_used = Some(self.last_used.map_or(now, |used| used.max(now)));
    }

    /// Adds the callers that arrived since the newest gap ended.
    fn count_callers(&mut self, now: Tick) {
        let current = self.requests();
        let Some(burst) = self.burst.as_mut() else {
            return;
        };
        if now.since(burst.started_at) > ARRIVAL_WINDOW {
            self.burst = None;
        } else if current > burst.counted {
            self.gaps.add_callers(burst.bucket, current - burst.counted);
            burst.counted = current;
        }
    }

    /// Drops reports older than `ttl`.
    pub fn expire_reports(&mut self, now: Tick, ttl: Duration) {
        self.reports.retain(|_, report| now.since(report.received_at) < ttl);
        if self.waiting() == 0 {
            self.waiting_since = None;
        } else if self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
    }

    /// Number of requests that wait at all routers.
    pub fn waiting(&self) -> u32 {
        self.reports.values().fold(0, |sum, report| sum.saturating_add(report.waiting))
    }

    /// Number of requests that run through all routers.
    pub fn running(&self) -> u32 {
        self.reports.values().fold(0, |sum, report| sum.saturating_add(report.running))
    }

    /// Number of requests that wait or run.
    pub fn requests(&self) -> u32 {
        self.waiting().saturating_add(self.running())
    }

    /// Whether any request waits or runs.
    pub fn is_busy(&self) -> bool {
        self.reports.values().any(|report| report.requests() > 0)
    }
}
