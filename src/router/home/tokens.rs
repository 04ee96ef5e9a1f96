//! Token buckets of the teams whose home is this router.

use corianderyoke_coord::keys::MemberKey;
use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::pools::Bucket;
use corianderyoke_coord::pools::Counters;
use corianderyoke_coord::pools::Error;
use corianderyoke_coord::pools::Grant;
use corianderyoke_coord::pools::GrantRequest;
use corianderyoke_coord::pools::Handover;
use corianderyoke_coord::pools::Limits;
use corianderyoke_coord::pools::Verdict;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::tokens_response::Verdict as WireVerdict;
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::router::home::serves;
use crate::router::limit::from_wire;
use crate::router::limit::refund_from_wire;
use crate::router::Router;
use crate::util::clock;

/// Token buckets of the teams whose home is this router, by team name.
#[derive(Default)]
pub struct Tokens {
    buckets: Mutex<IndexMap<String, Bucket>>,
}

/// One member's token counters for one team, for the inventory of a new home.
#[derive(Clone, Debug)]
pub struct Report {
    /// Member that the counters belong to.
    pub member: MemberKey,
    /// The member's cumulative counters.
    pub counters: Counters,
}

impl Tokens {
    /// Whether the bucket of `team` is running at this router.
    pub fn holds(&self, team: &str) -> bool {
        self.buckets.lock().contains_key(team)
    }

    /// Starts the bucket of `team` at `epoch` from the complete inventory.
    pub fn start(
        &self,
        team: &str,
        epoch: u64,
        limits: Limits,
        handed: Option<Handover>,
        reports: &[Report],
    ) {
        let now = clock::now();
        let members: Vec<MemberKey> = reports.iter().map(|report| report.member).collect();
        let mut bucket = Bucket::new_successor(epoch, limits, &members, now);
        if let Some(handed) = handed {
            bucket.accept_handover(handed);
        }
        for report in reports {
            bucket.add_snapshot(report.member, report.counters, now);
        }
        self.buckets.lock().insert(team.to_owned(), bucket);
    }

    /// Stops the bucket of `team` permanently and returns its state for the next home; `None` if it
    /// isn't running here.
    pub fn stop(&self, team: &str) -> Option<Handover> {
        let mut bucket = self.buckets.lock().swap_remove(team)?;
        Some(bucket.hand_over(clock::now()))
    }

    /// Drops all buckets.
    pub fn reset(&self) {
        self.buckets.lock().clear();
    }

    /// Removes a member whose term has expired from all buckets. Its held tokens are lost.
    pub fn lapse(&self, member: MemberKey) {
        let now = clock::now();
        for bucket in self.buckets.lock().values_mut() {
            bucket.remove_router(member, now);
        }
    }

    /// Applies changed rates and bursts. Teams for which `rate` returns `None` keep theirs.
    pub fn set_rates(&self, rate: impl Fn(&str) -> Option<Limits>) {
        let now = clock::now();
        for (team, bucket) in self.buckets.lock().iter_mut() {
            match rate(team) {
                Some(limits) if limits != bucket.limits() => bucket.set_limits(limits, now),
                _ => {}
            }
        }
    }
}

/// Answers a router's grant request.
pub fn answer(router: &Router, from: &MemberId, ask: &peer::TokensRequest) -> peer::TokensResponse {
    let not_home = |home| {
        let verdict = Some(WireVerdict::NotHome(true));
        peer::TokensResponse { home, verdict, ..Default::default() }
    };
    if !serves(router, Kind::Bucket, &ask.team) || !router.agent.view().contains(from) {
        return not_home(0);
    }
    let member = router.homes.names.member(from);
    let mut buckets = router.homes.tokens.buckets.lock();
    let Some(bucket) = buckets.get_mut(&ask.team) else {
        return not_home(0);
    };
    let counters = from_wire(ask.counters.unwrap_or_default());
    // The response uses the request's own stream, so the message needs no sequence number.
    let asked = GrantRequest {
        home: ask.home,
        number: 0,
        counters,
        refunds: ask.refunds.iter().map(refund_from_wire).collect(),
        want: ask.want,
        need: ask.need,
    };
    match bucket.handle_request(member, &asked, clock::now()) {
        Ok(grant) => {
            let Grant { home, at, granted, refund, .. } = grant;
            let verdict = Some(to_wire(grant.verdict));
            peer::TokensResponse { home, granted, verdict, at_us: at.0, refund }
        }
        Err(Error::WrongEpoch { requested, current }) if requested > current => {
            // The requester switched to a takeover that this home never finished: repeat it.
            buckets.swap_remove(&ask.team);
            not_home(0)
        }
        Err(Error::WrongEpoch { current, .. }) => not_home(current),
        Err(Error::HandedOver | Error::NoAccount) => not_home(0),
    }
}

fn to_wire(verdict: Verdict) -> WireVerdict {
    match verdict {
        Verdict::Granted => WireVerdict::Met(true),
        Verdict::Wait(wait) => WireVerdict::WaitUs(wait.as_micros() as u64),
        Verdict::TooLarge => WireVerdict::TooLarge(true),
    }
}
