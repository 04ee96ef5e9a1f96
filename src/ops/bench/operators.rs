//! Operators' commands during a failure run, and the events that they record.
//!
//! A change that loosens a rule is recorded with the start time of its command, since it may be in
//! force before the operator gets the response. A change that tightens one is recorded with the
//! time of the response.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::register::document::Document;
use corianderyoke_coord::register::Entry;
use corianderyoke_coord::register::Kind;
use corianderyoke_coord::register::Revision;
use corianderyoke_history::Event;
use corianderyoke_platform::Platform;
use tokio::time::sleep;

use super::journal::Journal;
use super::schedule::Action;
use super::world::Key;
use super::world::World;
use crate::ops::config::commands;
use crate::ops::config::members;
use crate::ops::config::queries;
use crate::ops::config::Author;
use crate::ops::config::Result;

/// Attempts at one command while the store fails.
const ATTEMPT_LIMIT: usize = 40;
/// Delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time between issuing a new key and revoking the old one.
const KEY_HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Executes an operator's action; ignores actions that aren't an operator's.
pub async fn execute(world: Arc<World>, action: Action) {
    match action {
        Action::Rate { team, rate, burst } => set_limits(&world, &team, rate, burst).await,
        Action::Revoke { team } => revoke(&world, &team).await,
        Action::Drain(zone) => {
            let author = author("drain");
            let run = || commands::drain(&world.store, &zone, &author);
            if run_until_accepted(&world, run, |applied| applied.revision).await.is_some() {
                world.journal.record(Event::ZoneDrained { zone });
            }
        }
        Action::Restore(zone) => {
            let began = Journal::now();
            let author = author("restore");
            let run = || commands::restore(&world.store, &zone, &author);
            if run_until_accepted(&world, run, |applied| applied.revision).await.is_some() {
                world.journal.record_at(began, Event::ZoneRestored { zone });
            }
        }
        _ => {}
    }
}

fn author(action: &str) -> Author {
    Author { operator: "bench".to_owned(), action: action.to_owned() }
}

/// Runs a command until it is accepted and records its revision; `None` if all attempts failed. As
/// for the operators' command line, a change is accepted once a member has it.
///
/// A command whose outcome is unknown is run again. If the first attempt took effect, the repeat
/// changes nothing; if it is still pending, the repeat's own change makes its condition fail.
async fn run_until_accepted<T, F>(
    world: &World,
    run: impl Fn() -> F,
    revision: impl Fn(&T) -> Revision,
) -> Option<T>
where
    F: Future<Output = Result<T>>,
{
    for _ in 0..ATTEMPT_LIMIT {
        if let Ok(done) = run().await {
            let revision = revision(&done);
            confirm(world, revision).await;
            world.journal.record(Event::RevisionAccepted { revision: revision.0 });
            return Some(done);
        }
        sleep(RETRY_DELAY).await;
    }
    None
}

/// Waits until a member has a committed revision.
async fn confirm(world: &World, revision: Revision) {
    for _ in 0..ATTEMPT_LIMIT {
        let confirmed = members::confirm(&world.store, revision, members::CONFIRM_LIMIT).await;
        if matches!(confirmed, Ok(true)) {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Sets a team's limits. While the command runs, the larger of the old and new values is recorded,
/// since either may be in force.
async fn set_limits(world: &World, team: &str, rate: u64, burst: u64) {
    let Some(limits) = world.limits.lock().get(team).cloned() else {
        return;
    };
    // The lock is held throughout: concurrent changes of one team's limits could otherwise be
    // recorded in another order than they were committed.
    let mut limits = limits.lock().await;
    let larger = (limits.0.max(rate), limits.1.max(burst));
    record_limit(world, team, larger);
    let run = || apply_limits(&world.store, team, rate, burst);
    if run_until_accepted(world, run, |applied| applied.revision).await.is_some() {
        *limits = (rate, burst);
        record_limit(world, team, *limits);
    }
}

/// Records the limits (tokens per second and tokens) that now apply to a team.
pub fn record_limit(world: &World, team: &str, (rate, burst): (u64, u64)) {
    let team = team.to_owned();
    world.journal.record(Event::TeamLimit { team, rate: rate as f64, burst: burst as f64 });
}

async fn apply_limits(
    platform: &dyn Platform,
    team: &str,
    rate: u64,
    burst: u64,
) -> Result<commands::Applied> {
    let current = queries::snapshot(platform).await?;
    let mut document = Document { kinds: [Kind::Team].into_iter().collect(), ..<_>::default() };
    for (address, entry) in current.entries {
        if let (Kind::Team, Entry::Team(mut limits)) = (address.kind, entry) {
            if address.name == team {
                limits.rate = rate as f64;
                limits.burst = burst;
            }
            document.entries.insert(address, Entry::Team(limits));
        }
    }
    commands::apply(platform, &document, Some(current.revision), &author("apply")).await
}

/// Issues a new key for a team, hands it to the callers and revokes the old one.
async fn revoke(world: &World, team: &str) {
    let began = Journal::now();
    let author = author("revoke");
    let run = || commands::issue_key(&world.store, team, None, &author);
    let Some(issued) = run_until_accepted(world, run, |issued| issued.revision).await else {
        return;
    };
    let (name, team_name) = (issued.key.clone(), team.to_owned());
    world.journal.record_at(began, Event::KeyIssued { key: name, team: team_name });
    let key = Key { name: issued.key, secret: issued.secret };
    sleep(KEY_HANDOVER_TIME).await;
    let Some(old_key) = world.keys.lock().insert(team.to_owned(), key) else {
        return;
    };
    let run = || commands::revoke(&world.store, &old_key.name, &author);
    if run_until_accepted(world, run, |applied| applied.revision).await.is_some() {
        world.journal.record(Event::KeyRevoked { key: old_key.name.clone() });
        world.revoked_keys.lock().push(old_key);
    }
}
