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
use crate::router::limit::counters_from_wire;
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
pub struct MemberCounters {
    /// Member that the counters belong to.
    pub member: MemberKey,
    /// The member's cumulative counters.
    pub counters: Counters,
}

impl Tokens {
    /// Whether the bucket of `team` is running at this router.
    pub fn has_bucket(&self, team: &str) -> bool {
        self.buckets.lock().contains_key(team)
    }

    /// Starts the bucket of `team` at `epoch` from the complete inventory.
    pub fn start(
        &self,
        team: &str,
        epoch: u64,
        limits: Limits,
        handover: Option<Handover>,
        inventory: &[MemberCounters],
    ) {
        let now = clock::now();
        let members: Vec<MemberKey> = inventory.iter().map(|entry| entry.member).collect();
        let mut bucket = Bucket::new_successor(epoch, limits, &members, now);
        if let Some(handover) = handover {
            bucket.accept_handover(handover);
        }
        for entry in inventory {
            bucket.add_snapshot(entry.member, entry.counters, now);
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

    /// Removes a member whose lease has expired from all buckets. Its held tokens are lost.
    pub fn remove_member(&self, member: MemberKey) {
        let now = clock::now();
        for bucket in self.buckets.lock().values_mut() {
            bucket.remove_router(member, now);
        }
    }

    /// Applies changed rates and bursts. Teams for which `rate_limit` returns `None`
    /// keep theirs.
    pub fn set_rate_limits(&self, rate_limit: impl Fn(&str) -> Option<Limits>) {
        let now = clock::now();
        for (team, bucket) in self.buckets.lock().iter_mut() {
            match rate_limit(team) {
                Some(limits) if limits != bucket.limits() => bucket.set_limits(limits, now),
                _ => {}
            }
        }
    }
}

/// Answers a router's grant request.
pub fn answer(
    router: &Router,
    from: &MemberId,
    request: &peer::TokensRequest,
) -> peer::TokensResponse {
    let not_home = |home| {
        let verdict = Some(WireVerdict::NotHome(true));
        peer::TokensResponse { home, verdict, ..Default::default() }
    };
    if !serves(router, Kind::Bucket, &request.team) || !router.agent.view().contains(from) {
        return not_home(0);
    }
    let member = router.homes.names.member(from);
    let mut buckets = router.homes.tokens.buckets.lock();
    let Some(bucket) = buckets.get_mut(&request.team) else {
        return not_home(0);
    };
    let counters = counters_from_wire(request.counters.unwrap_or_default());
    // The response uses the request's own stream, so the message needs no sequence number.
    let grant_request = GrantRequest {
        home: request.home,
        number: 0,
        counters,
        refunds: request.refunds.iter().map(refund_from_wire).collect(),
        want: request.want,
        need: request.need,
    };
    match bucket.handle_request(member, &grant_request, clock::now()) {
        Ok(grant) => {
            let Grant { home, at, granted, refund, .. } = grant;
            let verdict = Some(verdict_to_wire(grant.verdict));
            peer::TokensResponse { home, granted, verdict, at_us: at.0, refund }
        }
        Err(Error::WrongEpoch { requested, current }) if requested > current => {
            // The requester switched to a takeover that this home never finished: repeat it.
            buckets.swap_remove(&request.team);
            not_home(0)
        }
        Err(Error::WrongEpoch { current, .. }) => not_home(current),
        Err(Error::HandedOver | Error::NoAccount) => not_home(0),
    }
}

fn verdict_to_wire(verdict: Verdict) -> WireVerdict {
    match verdict {
        Verdict::Granted => WireVerdict::Met(true),
        Verdict::Wait(wait) => WireVerdict::WaitUs(wait.as_micros() as u64),
        Verdict::TooLarge => WireVerdict::TooLarge(true),
    }
}
