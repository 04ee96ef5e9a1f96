//! Past maxima of a bucket's level plus holdings, in intervals of 250 ms.

use std::collections::VecDeque;

use crate::time::Tick;

/// Length of one interval in microseconds.
const INTERVAL_US: u64 = 250_000;

/// Number of intervals that are stored. Refunds of older reservations are dropped.
const MAX_INTERVALS: usize = 1200;

/// Highest sum of level and holdings in each interval, in microtokens.
#[derive(Clone, Debug, Default)]
pub(super) struct SumHistory {
    /// Number of the oldest stored interval.
    first_interval: u64,
    maxima: VecDeque<u64>,
    /// Time of the last record.
    at: Tick,
    /// Sum at that time.
    sum: u64,
}

impl SumHistory {
    /// Creates an empty history that starts at `now`.
    pub(super) fn new(now: Tick) -> Self {
        SumHistory {
            first_interval: now.0 / INTERVAL_US,
            maxima: VecDeque::from([0]),
            at: now,
            sum: 0,
        }
    }

    /// Records the sum at `now`. Since the last record it rose by at most `rate` microtokens per
    /// microsecond.
    pub(super) fn record(&mut self, sum: u64, rate: u64, now: Tick) {
        let last = now.0 / INTERVAL_US;
        let next = self.first_interval + self.maxima.len() as u64;
        // After a gap longer than the stored history, start afresh instead of filling it.
        if last >= next + MAX_INTERVALS as u64 {
            *self =
                SumHistory { first_interval: last, maxima: VecDeque::from([sum]), at: now, sum };
            return;
        }
        for interval in next..=last {
            self.raise_last(rate, Tick(interval * INTERVAL_US), sum);
            self.maxima.push_back(0);
        }
        self.raise_last(rate, now, sum);
        while self.maxima.len() > MAX_INTERVALS {
            self.maxima.pop_front();
            self.first_interval += 1;
        }
        self.at = now;
        self.sum = sum;
    }

    /// Raises the last interval's maximum to the highest possible sum at `end`, at most `limit`.
    fn raise_last(&mut self, rate: u64, end: Tick, limit: u64) {
        let gain = rate.saturating_mul(end.since(self.at).as_micros() as u64);
        let max = self.sum.saturating_add(gain).min(limit.max(self.sum));
        if let Some(last) = self.maxima.back_mut() {
            *last = max.max(*last);
        }
    }

    /// The highest sum since `time`; `None` if `time` is before the stored history.
    pub(super) fn max_since(&self, time: Tick) -> Option<u64> {
        let start = (time.0 / INTERVAL_US).checked_sub(self.first_interval)?;
        self.maxima.range(usize::try_from(start).ok()?.min(self.maxima.len())..).max().copied()
    }

    /// Adds refunded tokens to all sums since `time`, as if they had never been reserved.
    pub(super) fn add_since(&mut self, time: Tick, microtokens: u64) {
        let start = (time.0 / INTERVAL_US).saturating_sub(self.first_interval) as usize;
        let start = start.min(self.maxima.len());
        self.maxima.range_mut(start..).for_each(|max| *max = max.saturating_add(microtokens));
        self.sum = self.sum.saturating_add(microtokens);
    }

    /// Offsets an increase of the burst by `microtokens`, which must not make room for refunds of
    /// earlier reservations.
    pub(super) fn raise_all(&mut self, microtokens: u64) {
        self.maxima.iter_mut().for_each(|max| *max = max.saturating_add(microtokens));
    }
}
