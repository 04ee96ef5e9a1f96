//! The lease under which a member may act.

use std::time::Duration;

use indexmap::IndexMap;

use super::view::majority;
use super::MemberId;
use super::Settings;
use super::View;
use crate::time::Tick;

/// The lease of this member, extended by row renewals and, during a store outage, by promises from
/// a majority of the view. Each extension starts when its request was sent, on the local clock.
#[derive(Clone, Debug, Default)]
pub struct MemberLease {
    renewal_sent: Option<Tick>,
    promised: IndexMap<MemberId, Tick>,
    extension_sent: Option<Tick>,
    extension_epoch: u64,
}

impl MemberLease {
    /// Records a successful row renewal that was sent at `sent`.
    pub fn record_renewal(&mut self, sent: Tick) {
        self.renewal_sent = self.renewal_sent.max(Some(sent));
    }

    /// Records the promise of member `peer` to a request sent at `sent` in `view`. Extends the
    /// lease if a majority of `view` has promised.
    pub fn record_promise(&mut self, peer: MemberId, sent: Tick, me: &MemberId, view: &View) {
        let newest = self.promised.entry(peer).or_insert(sent);
        *newest = sent.max(*newest);
        let mut sent_times: Vec<Tick> = view
            .members
            .iter()
            .filter(|member| member.id != *me)
            .filter_map(|member| self.promised.get(&member.id).copied())
            .collect();
        sent_times.sort_unstable_by(|a, b| b.cmp(a));
        // This member counts too, so the n-th newest promise brings the count to n + 1.
        let ranked = sent_times.iter().enumerate();
        let counted = ranked.map(|(n, sent)| (n + 2, *sent));
        let majority_sent =
            counted.into_iter().find(|(count, _)| majority(*count, view.members.len()));
        if let Some((_, sent)) = majority_sent {
            self.extension_sent = self.extension_sent.max(Some(sent));
            self.extension_epoch = view.epoch;
        }
    }

    /// Extends the lease from `sent` without promises, for the only member of `view`.
    pub fn extend_alone(&mut self, sent: Tick, view: &View) {
        self.extension_sent = self.extension_sent.max(Some(sent));
        self.extension_epoch = view.epoch;
    }

    /// Discards the received promises, which count within one epoch only. An extension that they
    /// already granted stays valid.
    pub fn new_epoch(&mut self) {
        self.promised.clear();
    }

    /// Whether the lease is valid at `now`, so that the member may act.
    pub fn is_valid(&self, now: Tick, settings: &Settings) -> bool {
        let renewal_valid =
            self.renewal_sent.is_some_and(|sent| now < sent + settings.lease_duration);
        renewal_valid || self.extension_valid(now, settings)
    }

    /// Whether an extension granted by promises before `epoch` is still valid.
    pub fn extended_before(&self, now: Tick, epoch: u64, settings: &Settings) -> bool {
        self.extension_epoch < epoch && self.extension_valid(now, settings)
    }

    /// Time since the last successful renewal was sent; `None` before the first one.
    pub fn renewal_age(&self, now: Tick) -> Option<Duration> {
        self.renewal_sent.map(|sent| now.since(sent))
    }

    fn extension_valid(&self, now: Tick, settings: &Settings) -> bool {
        let Some(sent) = self.extension_sent else { return false };
        let outage = self.renewal_age(now).unwrap_or(Duration::MAX);
        outage < settings.outage_limit && now < sent + settings.lease_duration
    }
}
