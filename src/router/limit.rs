//! Rate limiting: reserves a request's tokens from its team's bucket before the request runs.
//!
//! Each team has a [`Slice`] at this router, which obtains tokens from the team's home. This module
//! drives the slices: it sends their grant requests, passes in the grants and wakes the requests
//! that wait for tokens.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::pools;
use corianderyoke_coord::pools::Counters;
use corianderyoke_coord::pools::Effect;
use corianderyoke_coord::pools::Grant;
use corianderyoke_coord::pools::GrantRequest;
use corianderyoke_coord::pools::Limits as RateLimit;
use corianderyoke_coord::pools::Reason;
use corianderyoke_coord::pools::Refund;
use corianderyoke_coord::pools::Slice;
use corianderyoke_coord::pools::SliceSettings;
use corianderyoke_coord::pools::Verdict;
use corianderyoke_coord::time::Tick;
use corianderyoke_history::Event as HistoryEvent;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as PeerRequest;
use corianderyoke_wire::peer::response::Body as PeerResponse;
use corianderyoke_wire::peer::tokens_response::Verdict as WireVerdict;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::router::refusal::Code;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::Router;
use crate::util::clock;

/// Interval between ticks of a slice that is in use.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for a home's response to a grant request.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);

type ReserveResult = std::result::Result<pools::Reservation, Rejection>;

#[derive(Clone, Copy, Debug)]
struct Rejection {
    wait: Duration,
    reason: Reason,
}

/// The slices of all teams at this router, by team name.
#[derive(Default)]
pub struct Limiter {
    teams: Mutex<IndexMap<String, Arc<TeamSlice>>>,
}

/// One team's slice and the requests that wait for its tokens.
pub struct TeamSlice {
    team: String,
    state: Mutex<State>,
}

struct State {
    slice: Slice,
    waiters: IndexMap<u64, oneshot::Sender<ReserveResult>>,
    next_ticket: u64,
    /// Whether a task is ticking the slice.
    ticking: bool,
}

/// Tokens reserved for one request. Dropping it refunds the unused tokens.
pub struct Reservation {
    router: Arc<Router>,
    request: String,
    team_slice: Arc<TeamSlice>,
    inner: Option<pools::Reservation>,
    reserved: u64,
    used: u64,
}

impl Reservation {
    /// Counts tokens as used, at most as many as were reserved.
    pub fn use_tokens(&mut self, tokens: u32) {
        self.used = (self.used + u64::from(tokens)).min(self.reserved);
    }

    /// Number of tokens used so far.
    pub fn used(&self) -> u64 {
        self.used
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(inner) = self.inner.take() {
            let unused = self.reserved - self.used;
            self.team_slice.state.lock().slice.settle(inner, self.used, clock::now());
            self.router.record(|| HistoryEvent::Returned {
                request: self.request.clone(),
                team: self.team_slice.team.clone(),
                tokens: unused as f64,
            });
        }
    }
}

impl Limiter {
    /// Switches the slice of `team` to the home that starts at `epoch` and returns the slice's
    /// counters for that home's inventory.
    ///
    /// From here on the slice ignores grants of earlier homes, so it can't spend tokens that the
    /// returned counters don't include.
    pub fn switch_home(&self, team: &str, epoch: u64) -> Counters {
        let slice = self.teams.lock().get(team).cloned();
        match slice {
            Some(slice) => slice.state.lock().slice.switch_home(epoch, clock::now()),
            None => Counters::default(),
        }
    }

    /// Drops all slices and refuses the requests that wait for tokens. The held tokens are lost,
    /// since the member that held them has expired.
    pub fn reset(&self) {
        let slices = std::mem::take(&mut *self.teams.lock());
        for slice in slices.values() {
            slice.state.lock().waiters.clear();
        }
    }

    /// Applies changed rates and bursts. Teams for which `rate_limit` returns `None`
    /// keep theirs.
    pub fn set_rate_limits(&self, rate_limit: impl Fn(&str) -> Option<RateLimit>) {
        let teams = self.teams.lock().clone();
        for (name, slice) in teams {
            if let Some(rate_limit) = rate_limit(&name) {
                let mut state = slice.state.lock();
                if state.slice.limits() != rate_limit {
                    state.slice.set_limits(rate_limit, clock::now());
                }
            }
        }
    }

    fn slice_of(&self, team: &str, rate_limit: RateLimit) -> Arc<TeamSlice> {
        let mut teams = self.teams.lock();
        if let Some(slice) = teams.get(team) {
            return Arc::clone(slice);
        }
        let slice = Slice::new(SliceSettings::default(), 0, rate_limit, clock::now());
        let waiters = IndexMap::new();
        let state = Mutex::new(State { slice, waiters, next_ticket: 0, ticking: false });
        let slice = Arc::new(TeamSlice { team: team.to_owned(), state });
        teams.insert(team.to_owned(), Arc::clone(&slice));
        slice
    }
}

/// Reserves `tokens` of `team`, waiting until `deadline` at most.
///
/// # Errors
///
/// A refusal with outcome "not run" if the team's rate can't supply the tokens before the deadline,
/// the request exceeds the burst, the queue is full, or the home can't be reached.
pub async fn reserve(
    router: &Arc<Router>,
    request: &str,
    team: &str,
    tokens: u64,
    deadline: Tick,
) -> Result<Reservation> {
    let rate_limit = router.rate_limit(team).ok_or_else(|| unknown_team(team))?;
    let me = router.agent.id();
    let slice = router.limiter.slice_of(team, rate_limit);
    let (sender, receiver) = oneshot::channel();
    let ticket = enqueue(router, &slice, tokens, deadline, sender);
    let mut cancel_guard = CancelOnDrop { slice: Arc::clone(&slice), ticket: Some(ticket) };
    let result = receiver.await;
    cancel_guard.ticket = None;
    match result {
        Ok(Ok(reservation)) => {
            if let Err(refusal) = check_incarnation(router, &me) {
                slice.state.lock().slice.settle(reservation, 0, clock::now());
                return Err(refusal);
            }
            router.record(|| HistoryEvent::Admission {
                request: request.to_owned(),
                team: team.to_owned(),
                tokens: tokens as f64,
            });
            Ok(Reservation {
                router: Arc::clone(router),
                request: request.to_owned(),
                team_slice: slice,
                inner: Some(reservation),
                reserved: tokens,
                used: 0,
            })
        }
        Ok(Err(rejection)) => Err(refusal(team, rejection)),
        Err(_) => Err(incarnation_lost()),
    }
}

/// Checks that this member may spend tokens that were granted to incarnation `me`. The homes write
/// off the tokens of a member whose lease has expired and of its earlier incarnations.
fn check_incarnation(router: &Router, me: &MemberId) -> Result<()> {
    router.may_act()?;
    match router.agent.id() == *me {
        true => Ok(()),
        false => Err(incarnation_lost()),
    }
}

/// Removes a waiting request from the slice's queue when its future is dropped.
struct CancelOnDrop {
    slice: Arc<TeamSlice>,
    ticket: Option<u64>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        let mut state = self.slice.state.lock();
        if state.waiters.swap_remove(&ticket).is_some() {
            // A grant request among the effects isn't sent. The slice makes another one after its
            // request timeout.
            let effects = state.slice.cancel(ticket, clock::now());
            state.apply_effects(effects);
        }
    }
}

fn enqueue(
    router: &Arc<Router>,
    slice: &Arc<TeamSlice>,
    tokens: u64,
    deadline: Tick,
    sender: oneshot::Sender<ReserveResult>,
) -> u64 {
    let mut state = slice.state.lock();
    let ticket = state.next_ticket;
    state.next_ticket += 1;
    state.waiters.insert(ticket, sender);
    let effects = state.slice.reserve(ticket, tokens, deadline, clock::now());
    let requests = state.apply_effects(effects);
    let start_ticking = !std::mem::replace(&mut state.ticking, true);
    drop(state);
    send_requests(router, slice, requests);
    if start_ticking {
        tokio::spawn(run_ticks(Arc::clone(router), Arc::clone(slice)));
    }
    ticket
}

impl State {
    /// Passes the slice's decisions to the waiting requests. Returns the grant requests to send.
    fn apply_effects(&mut self, effects: Vec<Effect>) -> Vec<GrantRequest> {
        let mut requests = Vec::new();
        for effect in effects {
            match effect {
                Effect::Reserved { ticket, reservation } => self.complete(ticket, reservation),
                Effect::Refused { ticket, wait, reason } => {
                    if let Some(sender) = self.waiters.swap_remove(&ticket) {
                        let _ = sender.send(Err(Rejection { wait, reason }));
                    }
                }
                Effect::GrantRequest(request) => requests.push(request),
            }
        }
        requests
    }

    fn complete(&mut self, ticket: u64, reservation: pools::Reservation) {
        let undelivered = match self.waiters.swap_remove(&ticket) {
            Some(sender) => sender.send(Ok(reservation)).err(),
            None => Some(Ok(reservation)),
        };
        if let Some(Ok(reservation)) = undelivered {
            self.slice.settle(reservation, 0, clock::now());
        }
    }
}

async fn run_ticks(router: Arc<Router>, slice: Arc<TeamSlice>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let mut state = slice.state.lock();
        if !state.slice.is_busy() {
            state.ticking = false;
            return;
        }
        let effects = state.slice.tick(clock::now());
        let requests = state.apply_effects(effects);
        drop(state);
        send_requests(&router, &slice, requests);
    }
}

fn send_requests(router: &Arc<Router>, slice: &Arc<TeamSlice>, requests: Vec<GrantRequest>) {
    for grant_request in requests {
        tokio::spawn(request_grant(Arc::clone(router), Arc::clone(slice), grant_request));
    }
}

async fn request_grant(router: Arc<Router>, slice: Arc<TeamSlice>, grant_request: GrantRequest) {
    let request = peer::TokensRequest {
        team: slice.team.clone(),
        home: grant_request.home,
        counters: Some(counters_to_wire(grant_request.counters)),
        want: grant_request.want,
        need: grant_request.need,
        refunds: grant_request.refunds.iter().map(refund_to_wire).collect(),
    };
    let body = PeerRequest::Tokens(request);
    let response = router.call_home(Kind::Bucket, &slice.team, body, GRANT_TIMEOUT).await;
    // Without a response the slice sends another request by itself.
    let Some(PeerResponse::Tokens(response)) = response else {
        return;
    };
    let mut state = slice.state.lock();
    let now = clock::now();
    let effects = match verdict_from_wire(&response) {
        Some(verdict) => {
            let grant = Grant {
                home: response.home,
                number: grant_request.number,
                at: Tick(response.at_us),
                granted: response.granted,
                refund: response.refund,
                verdict,
            };
            state.slice.handle_grant(&grant, now)
        }
        None => {
            // A slice that never received a grant adopts the epoch that the home reports.
            if state.slice.counters() == Counters::default() {
                state.slice.switch_home(response.home, now);
            }
            Vec::new()
        }
    };
    let requests = state.apply_effects(effects);
    drop(state);
    send_requests(&router, &slice, requests);
}

fn verdict_from_wire(response: &peer::TokensResponse) -> Option<Verdict> {
    match response.verdict? {
        WireVerdict::Met(_) => Some(Verdict::Granted),
        WireVerdict::WaitUs(us) => Some(Verdict::Wait(Duration::from_micros(us))),
        WireVerdict::TooLarge(_) => Some(Verdict::TooLarge),
        WireVerdict::NotHome(_) => None,
    }
}

fn refund_to_wire(refund: &Refund) -> peer::Refund {
    peer::Refund { number: refund.number, since_us: refund.since.0, tokens: refund.tokens }
}

/// Converts a refund from a peer's message.
pub fn refund_from_wire(refund: &peer::Refund) -> Refund {
    Refund { number: refund.number, since: Tick(refund.since_us), tokens: refund.tokens }
}

/// Converts counters for a message to a peer.
pub fn counters_to_wire(counters: Counters) -> peer::Counters {
    let Counters { granted, spent, returned } = counters;
    peer::Counters { granted, spent, returned }
}

/// Converts counters from a peer's message.
pub fn counters_from_wire(counters: peer::Counters) -> Counters {
    let peer::Counters { granted, spent, returned } = counters;
    Counters { granted, spent, returned }
}

fn incarnation_lost() -> Refusal {
    Refusal::not_run(Code::Unavailable, "the router rejoined; ask again")
}

fn unknown_team(team: &str) -> Refusal {
    Refusal::not_run(Code::Forbidden, format!("team `{team}` is no longer registered"))
}

fn refusal(team: &str, rejection: Rejection) -> Refusal {
    let refusal = match rejection.reason {
        Reason::Rate => {
            let message = format!("team `{team}` has used up its rate and burst");
            Refusal::not_run(Code::OverLimit, message)
        }
        Reason::TooLarge => {
            let message = format!("the request needs more tokens than the burst of team `{team}`");
            return Refusal::not_run(Code::OverLimit, message);
        }
        Reason::QueueFull => {
            let message = format!("too many requests of team `{team}` wait");
            Refusal::not_run(Code::Overloaded, message)
        }
        Reason::HomeTimeout => {
            let message = "the home of the team's limit didn't answer in time";
            Refusal::not_run(Code::Unavailable, message)
        }
    };
    refusal.with_retry(rejection.wait)
}
