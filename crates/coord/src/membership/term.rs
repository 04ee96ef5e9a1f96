//! A member's own term.

use std::time::Duration;

use indexmap::IndexMap;

use super::view::majority;
use super::MemberId;
use super::Settings;
use super::View;
use crate::time::Tick;

/// Until when this member may act. Every span counts from before the request that earned it was
/// sent, on this process's clock.
#[derive(Clone, Debug, Default)]
pub struct Term {
    renewed: Option<Tick>,
    promised: IndexMap<MemberId, Tick>,
    extended: Option<Tick>,
    extended_epoch: u64,
}

impl Term {
    /// A renewal sent at `sent` took effect.
    pub fn renew(&mut self, sent: Tick) {
        self.renewed = self.renewed.max(Some(sent));
    }

    /// `by` promised in answer to a request sent at `sent`, while `view` was held.
    pub fn promise(&mut self, by: MemberId, sent: Tick, me: &MemberId, view: &View) {
        let kept = self.promised.entry(by).or_insert(sent);
        *kept = sent.max(*kept);
        let mut sents: Vec<Tick> = view
            .members
            .iter()
            .filter(|member| member.id != *me)
            .filter_map(|member| self.promised.get(&member.id).copied())
            .collect();
        sents.sort_unstable_by(|a, b| b.cmp(a));
        // This member stands by itself, so the n-th newest promise makes n + 1.
        let nth = sents.iter().enumerate();
        let met = nth.map(|(n, sent)| (n + 2, *sent));
        let from = met.into_iter().find(|(count, _)| majority(*count, view.members.len()));
        if let Some((_, sent)) = from {
            self.extended = self.extended.max(Some(sent));
            self.extended_epoch = view.epoch;
        }
    }

    /// The only member of `view` goes on by itself from `sent`.
    pub fn alone(&mut self, sent: Tick, view: &View) {
        self.extended = self.extended.max(Some(sent));
        self.extended_epoch = view.epoch;
    }

    /// Forgets single promises, which count within one epoch only; what they earned stays.
    pub fn new_epoch(&mut self) {
        self.promised.clear();
    }

    /// Whether the member may act now.
    pub fn live(&self, now: Tick, settings: &Settings) -> bool {
        let renewed = self.renewed.is_some_and(|sent| now < sent + settings.lease_duration);
        renewed || self.extended_live(now, settings)
    }

    /// Whether promises gathered before `epoch` still let the member act.
    pub fn earlier_live(&self, now: Tick, epoch: u64, settings: &Settings) -> bool {
        self.extended_epoch < epoch && self.extended_live(now, settings)
    }

    /// Time since the last renewal that took effect was sent.
    pub fn renewal_age(&self, now: Tick) -> Option<Duration> {
        self.renewed.map(|sent| now.since(sent))
    }

    fn extended_live(&self, now: Tick, settings: &Settings) -> bool {
        let Some(sent) = self.extended else { return false };
        let outage = self.renewal_age(now).unwrap_or(Duration::MAX);
        outage < settings.outage_limit && now < sent + settings.lease_duration
    }
}
