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
use corianderyoke_coord::pools::Limits as Rate;
use corianderyoke_coord::pools::Reason;
use corianderyoke_coord::pools::Refund;
use corianderyoke_coord::pools::Slice;
use corianderyoke_coord::pools::SliceSettings;
use corianderyoke_coord::pools::Verdict;
use corianderyoke_coord::time::Tick;
use corianderyoke_history::Event as Recorded;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Answer;
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
const TICK: Duration = Duration::from_millis(20);
/// Longest wait for a home's response to a grant request.
const ASK_WITHIN: Duration = Duration::from_millis(500);

type Told = std::result::Result<pools::Reservation, Refused>;

#[derive(Clone, Copy, Debug)]
struct Refused {
    wait: Duration,
    reason: Reason,
}

/// The slices of all teams at this router, by team name.
#[derive(Default)]
pub struct Limits {
    teams: Mutex<IndexMap<String, Arc<TeamSlice>>>,
}

/// One team's slice and the requests that wait for its tokens.
pub struct TeamSlice {
    team: String,
    state: Mutex<State>,
}

struct State {
    slice: Slice,
    waiting: IndexMap<u64, oneshot::Sender<Told>>,
    next: u64,
    /// Whether a task is ticking the slice.
    driven: bool,
}

/// Tokens reserved for one request. Dropping it refunds the unused tokens.
pub struct Reservation {
    router: Arc<Router>,
    request: String,
    team: Arc<TeamSlice>,
    held: Option<pools::Reservation>,
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
        if let Some(held) = self.held.take() {
            let rest = self.reserved - self.used;
            self.team.state.lock().slice.settle(held, self.used, clock::now());
            self.router.record(|| Recorded::Returned {
                request: self.request.clone(),
                team: self.team.team.clone(),
                tokens: rest as f64,
            });
        }
    }
}

impl Limits {
    /// Switches the slice of `team` to the home that starts at `epoch` and returns the slice's
    /// counters for that home's inventory.
    ///
    /// From here on the slice ignores grants of earlier homes, so it can't spend tokens that the
    /// returned counters don't include.
    pub fn follow(&self, team: &str, epoch: u64) -> Counters {
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
            slice.state.lock().waiting.clear();
        }
    }

    /// Applies changed rates and bursts. Teams for which `rate` returns `None` keep theirs.
    pub fn set_rates(&self, rate: impl Fn(&str) -> Option<Rate>) {
        let teams = self.teams.lock().clone();
        for (name, slice) in teams {
            if let Some(rate) = rate(&name) {
                let mut state = slice.state.lock();
                if state.slice.limits() != rate {
                    state.slice.set_limits(rate, clock::now());
                }
            }
        }
    }

    fn team(&self, team: &str, rate: Rate) -> Arc<TeamSlice> {
        let mut teams = self.teams.lock();
        if let Some(slice) = teams.get(team) {
            return Arc::clone(slice);
        }
        let slice = Slice::new(SliceSettings::default(), 0, rate, clock::now());
        let waiting = IndexMap::new();
        let state = Mutex::new(State { slice, waiting, next: 0, driven: false });
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
    let rate = router.rate(team).ok_or_else(|| gone(team))?;
    let me = router.agent.id();
    let slice = router.limits.team(team, rate);
    let (tell, told) = oneshot::channel();
    let ticket = start(router, &slice, tokens, deadline, tell);
    let mut queued = Queued { slice: Arc::clone(&slice), ticket: Some(ticket) };
    let told = told.await;
    queued.ticket = None;
    match told {
        Ok(Ok(held)) => {
            if let Err(refusal) = may_spend(router, &me) {
                slice.state.lock().slice.settle(held, 0, clock::now());
                return Err(refusal);
            }
            router.record(|| Recorded::Admission {
                request: request.to_owned(),
                team: team.to_owned(),
                tokens: tokens as f64,
            });
            Ok(Reservation {
                router: Arc::clone(router),
                request: request.to_owned(),
                team: slice,
                held: Some(held),
                reserved: tokens,
                used: 0,
            })
        }
        Ok(Err(refused)) => Err(refusal(team, refused)),
        Err(_) => Err(rejoined()),
    }
}

/// Checks that this member may spend tokens that were granted to incarnation `me`. The homes write
/// off the tokens of a member whose term has expired and of its earlier incarnations.
fn may_spend(router: &Router, me: &MemberId) -> Result<()> {
    router.may_act()?;
    match router.agent.id() == *me {
        true => Ok(()),
        false => Err(rejoined()),
    }
}

/// Removes a waiting request from the slice's queue when its future is dropped.
struct Queued {
    slice: Arc<TeamSlice>,
    ticket: Option<u64>,
}

impl Drop for Queued {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        let mut state = self.slice.state.lock();
        if state.waiting.swap_remove(&ticket).is_some() {
            // Grant requests that become due by this are sent at the next tick.
            let effects = state.slice.cancel(ticket, clock::now());
            state.tell(effects);
        }
    }
}

fn start(
    router: &Arc<Router>,
    slice: &Arc<TeamSlice>,
    tokens: u64,
    deadline: Tick,
    tell: oneshot::Sender<Told>,
) -> u64 {
    let mut state = slice.state.lock();
    let ticket = state.next;
    state.next += 1;
    state.waiting.insert(ticket, tell);
    let effects = state.slice.reserve(ticket, tokens, deadline, clock::now());
    let asks = state.tell(effects);
    let drive = !std::mem::replace(&mut state.driven, true);
    drop(state);
    send(router, slice, asks);
    if drive {
        tokio::spawn(ticks(Arc::clone(router), Arc::clone(slice)));
    }
    ticket
}

impl State {
    /// Passes the slice's decisions to the waiting requests. Returns the grant requests to send.
    fn tell(&mut self, effects: Vec<Effect>) -> Vec<GrantRequest> {
        let mut asks = Vec::new();
        for effect in effects {
            match effect {
                Effect::Reserved { ticket, reservation } => self.reserved(ticket, reservation),
                Effect::Refused { ticket, wait, reason } => {
                    if let Some(tell) = self.waiting.swap_remove(&ticket) {
                        let _ = tell.send(Err(Refused { wait, reason }));
                    }
                }
                Effect::GrantRequest(ask) => asks.push(ask),
            }
        }
        asks
    }

    fn reserved(&mut self, ticket: u64, reservation: pools::Reservation) {
        let unheard = match self.waiting.swap_remove(&ticket) {
            Some(tell) => tell.send(Ok(reservation)).err(),
            None => Some(Ok(reservation)),
        };
        if let Some(Ok(reservation)) = unheard {
            self.slice.settle(reservation, 0, clock::now());
        }
    }
}

async fn ticks(router: Arc<Router>, slice: Arc<TeamSlice>) {
    loop {
        sleep(TICK).await;
        let mut state = slice.state.lock();
        if !state.slice.is_busy() {
            state.driven = false;
            return;
        }
        let effects = state.slice.tick(clock::now());
        let asks = state.tell(effects);
        drop(state);
        send(&router, &slice, asks);
    }
}

fn send(router: &Arc<Router>, slice: &Arc<TeamSlice>, asks: Vec<GrantRequest>) {
    for ask in asks {
        tokio::spawn(ask_home(Arc::clone(router), Arc::clone(slice), ask));
    }
}

async fn ask_home(router: Arc<Router>, slice: Arc<TeamSlice>, ask: GrantRequest) {
    let request = peer::TokensRequest {
        team: slice.team.clone(),
        home: ask.home,
        counters: Some(to_wire(ask.counters)),
        want: ask.want,
        need: ask.need,
        refunds: ask.refunds.iter().map(refund_to_wire).collect(),
    };
    let body = Call::Tokens(request);
    let answer = router.call_home(Kind::Bucket, &slice.team, body, ASK_WITHIN).await;
    // Without a response the slice sends another request by itself.
    let Some(Answer::Tokens(answer)) = answer else {
        return;
    };
    let mut state = slice.state.lock();
    let now = clock::now();
    let effects = match verdict(&answer) {
        Some(verdict) => {
            let grant = Grant {
                home: answer.home,
                number: ask.number,
                at: Tick(answer.at_us),
                granted: answer.granted,
                refund: answer.refund,
                verdict,
            };
            state.slice.handle_grant(&grant, now)
        }
        None => {
            // A slice that never received a grant adopts the epoch that the home reports.
            if state.slice.counters() == Counters::default() {
                state.slice.switch_home(answer.home, now);
            }
            Vec::new()
        }
    };
    let asks = state.tell(effects);
    drop(state);
    send(&router, &slice, asks);
}

fn verdict(answer: &peer::TokensResponse) -> Option<Verdict> {
    match answer.verdict? {
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
pub fn to_wire(counters: Counters) -> peer::Counters {
    let Counters { granted, spent, returned } = counters;
    peer::Counters { granted, spent, returned }
}

/// Converts counters from a peer's message.
pub fn from_wire(counters: peer::Counters) -> Counters {
    let peer::Counters { granted, spent, returned } = counters;
    Counters { granted, spent, returned }
}

fn rejoined() -> Refusal {
    Refusal::not_run(Code::Unavailable, "the router rejoined; ask again")
}

fn gone(team: &str) -> Refusal {
    Refusal::not_run(Code::Forbidden, format!("team `{team}` is no longer registered"))
}

fn refusal(team: &str, refused: Refused) -> Refusal {
    let refusal = match refused.reason {
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
    refusal.with_retry(refused.wait)
}
