//! Demand for one model: who waits, who runs, when it was last used.

use std::time::Duration;

use indexmap::IndexMap;

use crate::time::Tick;

use super::keep_alive::GapHistogram;

/// What one router last said.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that run through it.
    pub running: u32,
    /// When it said so.
    pub at: Tick,
}

/// Callers that come together after a gap count for it for this long.
const TOGETHER: Duration = Duration::from_secs(2);

/// Callers that ended a gap.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Arrival {
    bucket: usize,
    at: Tick,
    counted: u32,
}

/// Demand for one model over all routers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// The newest report of each router.
    pub reports: IndexMap<String, Report>,
    /// Since when somebody waits, for the order of decisions.
    pub since: Option<Tick>,
    /// When it was last waited for or running.
    pub used: Option<Tick>,
    /// Since when its requests would fit on one replica fewer.
    pub slack: Option<Tick>,
    /// Gaps between its uses.
    pub gaps: GapHistogram,
    /// The callers that end the newest gap.
    arrival: Option<Arrival>,
}

impl Demand {
    /// Takes in what a router said; a use after a pause is recorded as a gap.
    pub fn report(&mut self, now: Tick, router: &str, waiting: u32, running: u32, life: Duration) {
        if waiting + running > 0 {
            self.touch(now);
        }
        self.reports.insert(router.to_owned(), Report { waiting, running, at: now });
        self.lapse(now, life);
        self.count_callers(now);
    }

    /// Notes a use.
    pub fn touch(&mut self, now: Tick) {
        if let Some(used) = self.used {
            let gap = now.since(used);
            if gap > Duration::from_secs(1) {
                let bucket = self.gaps.record(gap);
                self.arrival = Some(Arrival { bucket, at: now, counted: 0 });
            }
        }
        self.used = Some(self.used.map_or(now, |used| used.max(now)));
    }

    /// Adds the callers that came since the newest gap ended.
    fn count_callers(&mut self, now: Tick) {
        let present = self.waiting() + self.running();
        let Some(arrival) = self.arrival.as_mut() else {
            return;
        };
        if now.since(arrival.at) > TOGETHER {
            self.arrival = None;
        } else if present > arrival.counted {
            self.gaps.add_callers(arrival.bucket, present - arrival.counted);
            arrival.counted = present;
        }
    }

    /// Forgets reports older than `life`.
    pub fn lapse(&mut self, now: Tick, life: Duration) {
        self.reports.retain(|_, report| now.since(report.at) < life);
        if self.waiting() == 0 {
            self.since = None;
        } else if self.since.is_none() {
            self.since = Some(now);
        }
    }

    /// Requests that wait at all routers.
    pub fn waiting(&self) -> u32 {
        self.reports.values().map(|report| report.waiting).sum()
    }

    /// Requests that run through all routers.
    pub fn running(&self) -> u32 {
        self.reports.values().map(|report| report.running).sum()
    }

    /// Whether somebody waits for it or runs on it.
    pub fn busy(&self) -> bool {
        self.reports.values().any(|report| report.waiting + report.running > 0)
    }
}
