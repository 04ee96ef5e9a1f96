//! What a bucket's level and holdings were over time, in spans of a quarter second.

use std::collections::VecDeque;

use crate::time::Tick;

/// Length of one span in microseconds.
const SPAN: u64 = 250_000;

/// Spans that are kept: refunds of older reservations are dropped.
const SPANS: usize = 1200;

/// Highest sum of level and holdings in each span, in microtokens.
#[derive(Clone, Debug, Default)]
pub(super) struct Peaks {
    /// Number of the oldest span.
    first: u64,
    spans: VecDeque<u64>,
    /// When the sum was last noted, and what it was.
    at: Tick,
    sum: u64,
}

impl Peaks {
    /// Starts to keep the sum at `now`.
    pub(super) fn new(now: Tick) -> Self {
        Peaks { first: now.0 / SPAN, spans: VecDeque::from([0]), at: now, sum: 0 }
    }

    /// Notes the sum at `now`; in between it rose by at most `rate` microtokens a microsecond.
    pub(super) fn note(&mut self, sum: u64, rate: u64, now: Tick) {
        let last = now.0 / SPAN;
        let next = self.first + self.spans.len() as u64;
        // A gap beyond what is kept needs no filling.
        if last >= next + SPANS as u64 {
            *self = Peaks { first: last, spans: VecDeque::from([sum]), at: now, sum };
            return;
        }
        for span in next..=last {
            self.raise_last(rate, Tick(span * SPAN), sum);
            self.spans.push_back(0);
        }
        self.raise_last(rate, now, sum);
        while self.spans.len() > SPANS {
            self.spans.pop_front();
            self.first += 1;
        }
        self.at = now;
        self.sum = sum;
    }

    /// Raises the last span to what the sum was at its end, `end`.
    fn raise_last(&mut self, rate: u64, end: Tick, most: u64) {
        let gain = rate.saturating_mul(end.since(self.at).as_micros() as u64);
        let peak = self.sum.saturating_add(gain).min(most.max(self.sum));
        if let Some(last) = self.spans.back_mut() {
            *last = peak.max(*last);
        }
    }

    /// The highest sum since a moment; `None` when that isn't kept.
    pub(super) fn since(&self, moment: Tick) -> Option<u64> {
        let from = (moment.0 / SPAN).checked_sub(self.first)?;
        self.spans.range(usize::try_from(from).ok()?.min(self.spans.len())..).max().copied()
    }

    /// Counts tokens as if they hadn't been taken at a moment.
    pub(super) fn lift(&mut self, moment: Tick, micros: u64) {
        let from = (moment.0 / SPAN).saturating_sub(self.first) as usize;
        let from = from.min(self.spans.len());
        self.spans.range_mut(from..).for_each(|peak| *peak += micros);
        self.sum += micros;
    }

    /// A higher burst doesn't hold for the past: refunds find no more room there than before.
    pub(super) fn shift(&mut self, micros: u64) {
        self.spans.iter_mut().for_each(|peak| *peak += micros);
    }
}
