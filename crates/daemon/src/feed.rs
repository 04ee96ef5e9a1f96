//! Feeds of the operator's table, and what this daemon does when their response may be lost.
//!
//! A feed waits for seconds until there is a change, so that a daemon can't tell a store without
//! changes from one that swallowed the call or its response. It doubts the feed when another of its
//! calls got no response, when another daemon has read a row that it lacks, and when it no longer hears
//! the lease holder, which would have noticed an outage. It then reads the changes by calls that don't
//! wait, until one is answered. On a calm day there are no such calls.
//!
//! A silence that is too short for any call to time out may swallow just the responses to a change at
//! all daemons. So the lease holder, whose reports say up to where it has read, also asks for changes
//! at a short interval while its feed waits.

use std::time::Duration;

use corianderyoke_adapter::desired::TABLE;
use corianderyoke_adapter::store::Feed;
use corianderyoke_adapter::store::FeedResponse;
use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::serving::stagger::Slot;
use corianderyoke_platform::Error;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::state::Shared;

/// Least time for which a feed waits for a change.
const MIN_WAIT: Duration = Duration::from_secs(8);
/// Range of these times over the daemons. They begin their feeds together after a change, and an
/// outage must not swallow the responses to all of them together.
const WAIT_RANGE: Duration = Duration::from_secs(4);
/// Time within which a feed must return a row that another daemon has already read. After it, the
/// connection counts as unresponsive and the row is fetched over another one.
const BEHIND_TIMEOUT: Duration = Duration::from_millis(400);
/// Range of the delays of calls that the daemons send because of the same event, per daemon.
const SPREAD_PER_DAEMON: Duration = Duration::from_millis(2);
/// Largest range of these delays.
const MAX_SPREAD: Duration = Duration::from_millis(500);
/// Backoff after the first call without an answer; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff. After an outage, changes must be in force within the stable window.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Interval at which the lease holder asks whether its feed lacks a change.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Result of a feed.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason to doubt that a feed will be answered; logged under its variant name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Doubt {
    /// Another daemon has read a row that this one lacks.
    Behind,
    /// This daemon no longer hears the lease holder.
    HolderSilent,
    /// Another call got no response.
    Unanswered,
    /// A call that didn't wait returned a change that the feed didn't.
    Overtaken,
}

/// Feed whose response has begun.
enum Begun<'a> {
    Response(FeedResponse<'a>),
    /// It was read in full.
    Read(Feed),
}

/// Reasons to doubt feeds since the store last answered one.
#[derive(Debug)]
pub struct Doubts {
    unanswered: watch::Receiver<u64>,
}

impl Doubts {
    /// Starts to collect reasons.
    pub fn new(shared: &Shared) -> Self {
        Doubts { unanswered: shared.store.unanswered() }
    }

    /// Waits for a reason to doubt the feed in progress.
    async fn next(&mut self, shared: &Shared) -> Doubt {
        tokio::select! {
            () = falls_behind(shared) => Doubt::Behind,
            () = shared.holder_silent.notified() => Doubt::HolderSilent,
            // The sender is as long-lived as `shared`.
            _ = self.unanswered.changed() => Doubt::Unanswered,
        }
    }
}

/// Returns for how long the daemon of a slot lets the store wait for a change.
pub fn operator_wait(slot: Slot) -> Duration {
    MIN_WAIT + slot.delay(WAIT_RANGE)
}

/// Requests the changes after a position, waiting up to `wait` for the first. A response that has begun
/// isn't doubted: it may be large and the link busy.
///
/// # Errors
///
/// Fails when the store doesn't respond to the feed.
pub async fn read(
    shared: &Shared,
    doubts: &mut Doubts,
    after: Position,
    wait: Duration,
) -> Result<Feed> {
    let sent = clock::now();
    let log_doubt = |doubt: Doubt| {
        let (after, age_ms) = (after.version, clock::now().since(sent).as_millis());
        events::log(
            Event::FeedDoubted,
            format_args!("table={TABLE} after={after} cause={doubt:?} age_ms={age_ms}"),
        );
    };
    let begun = tokio::select! {
        response = shared.store.begin_feed(TABLE, after.version, wait) => {
            Begun::Response(response?)
        }
        response = async {
            let doubt = doubts.next(shared).await;
            log_doubt(doubt);
            read_now(shared, doubt, after.version).await
        } => Begun::Response(response),
        feed = find_change(shared, after) => {
            log_doubt(Doubt::Overtaken);
            Begun::Read(feed)
        }
    };
    // The store answers, so that earlier calls without an answer say nothing of the next feed.
    doubts.unanswered.mark_unchanged();
    match begun {
        Begun::Response(response) => response.read().await,
        Begun::Read(feed) => Ok(feed),
    }
}

/// Asks for changes after a position again and again while this daemon holds the lease, until there is
/// one.
async fn find_change(shared: &Shared, after: Position) -> Feed {
    loop {
        sleep(CHECK_INTERVAL).await;
        if !shared.state().holds_lease(clock::now()) {
            continue;
        }
        let check = async {
            shared.store.begin_feed(TABLE, after.version, Duration::ZERO).await?.read().await
        };
        match check.await {
            Ok(Feed::Changes(changes))
                if changes.rows.is_empty() && changes.position.era == after.era => {}
            Ok(feed) => return feed,
            Err(error) => {
                events::log(Event::PlatformFailed, format_args!("table={TABLE} {error}"));
            }
        }
    }
}

/// Requests the changes after a version without waiting for one, until the store answers.
async fn read_now(shared: &Shared, doubt: Doubt, after: u64) -> FeedResponse<'_> {
    let slot = shared.slot(TABLE);
    if doubt == Doubt::HolderSilent {
        let size = u32::try_from(slot.size).unwrap_or(u32::MAX);
        sleep(slot.delay(SPREAD_PER_DAEMON.saturating_mul(size).min(MAX_SPREAD))).await;
    }
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match shared.store.begin_feed(TABLE, after, Duration::ZERO).await {
            Ok(response) => return response,
            Err(error) => {
                events::log(Event::PlatformFailed, format_args!("table={TABLE} {error}"));
                sleep(slot.backoff(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Waits until this daemon has lacked a row that another one has read for [`BEHIND_TIMEOUT`].
async fn falls_behind(shared: &Shared) {
    loop {
        shared.operator_behind.notified().await;
        sleep(BEHIND_TIMEOUT).await;
        if shared.state().operator.is_behind() {
            return;
        }
    }
}
