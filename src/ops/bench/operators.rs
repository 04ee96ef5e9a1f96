//! Operators' commands of a run, with what they record.
//!
//! What loosens a rule is dated to the beginning of its command, since it may be in force before the
//! operator hears of it; what tightens one to its end.

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
use crate::ops::config::queries;
use crate::ops::config::Author;
use crate::ops::config::Result;

/// Tries of one command while the store fails.
const TRIES: usize = 40;
/// Pause before another try.
const AGAIN_AFTER: Duration = Duration::from_millis(500);
/// Time for callers to take a new key before the old one is withdrawn.
const HANDOVER: Duration = Duration::from_secs(2);

/// Carries an operator's action out.
pub async fn act(world: Arc<World>, action: Action) {
    match action {
        Action::Rate { team, rate, burst } => set_rate(&world, &team, rate, burst).await,
        Action::Revoke { team } => revoke(&world, &team).await,
        Action::Drain(zone) => {
            let author = author("drain");
            let run = || commands::drain(&world.store, &zone, &author);
            if accepted(&world, run, |applied| applied.revision).await.is_some() {
                world.journal.note(Event::ZoneDrained { zone });
            }
        }
        Action::Restore(zone) => {
            let began = Journal::now();
            let author = author("restore");
            let run = || commands::restore(&world.store, &zone, &author);
            if accepted(&world, run, |applied| applied.revision).await.is_some() {
                world.journal.note_at(began, Event::ZoneRestored { zone });
            }
        }
        _ => {}
    }
}

fn author(action: &str) -> Author {
    Author { operator: "bench".to_owned(), action: action.to_owned() }
}

/// Runs a command until it is accepted; its revision is recorded. A command whose outcome is unknown
/// is run again: where it took effect the repeat changes nothing, and where it may still take
/// effect the repeat's own change makes that impossible.
async fn accepted<T, F>(
    world: &World,
    run: impl Fn() -> F,
    revision: impl Fn(&T) -> Revision,
) -> Option<T>
where
    F: Future<Output = Result<T>>,
{
    for _ in 0..TRIES {
        if let Ok(done) = run().await {
            let revision = revision(&done).0;
            world.journal.note(Event::RevisionAccepted { revision });
            return Some(done);
        }
        sleep(AGAIN_AFTER).await;
    }
    None
}

/// Sets a team's limits. While the command is under way the larger of both may be in force.
async fn set_rate(world: &World, team: &str, rate: u64, burst: u64) {
    let Some(held) = world.limits.lock().get(team).cloned() else {
        return;
    };
    // Two changes of one team's limits would be recorded in another order than they were made.
    let mut held = held.lock().await;
    let larger = (held.0.max(rate), held.1.max(burst));
    note_limit(world, team, larger);
    let run = || apply_rate(&world.store, team, rate, burst);
    if accepted(world, run, |applied| applied.revision).await.is_some() {
        *held = (rate, burst);
        note_limit(world, team, *held);
    }
}

/// Records the limits of a team.
pub fn note_limit(world: &World, team: &str, (rate, burst): (u64, u64)) {
    let team = team.to_owned();
    world.journal.note(Event::TeamLimit { team, rate: rate as f64, burst: burst as f64 });
}

async fn apply_rate(
    platform: &dyn Platform,
    team: &str,
    rate: u64,
    burst: u64,
) -> Result<commands::Applied> {
    let present = queries::snapshot(platform).await?;
    let mut document = Document { kinds: [Kind::Team].into_iter().collect(), ..<_>::default() };
    for (address, entry) in present.entries {
        if let (Kind::Team, Entry::Team(mut held)) = (address.kind, entry) {
            if address.name == team {
                held.rate = rate as f64;
                held.burst = burst;
            }
            document.entries.insert(address, Entry::Team(held));
        }
    }
    commands::apply(platform, &document, Some(present.revision), &author("apply")).await
}

/// Issues a new key for a team and withdraws the one in use.
async fn revoke(world: &World, team: &str) {
    let began = Journal::now();
    let author = author("revoke");
    let run = || commands::issue_key(&world.store, team, None, &author);
    let Some(issued) = accepted(world, run, |issued| issued.revision).await else {
        return;
    };
    let (name, team_name) = (issued.key.clone(), team.to_owned());
    world.journal.note_at(began, Event::KeyIssued { key: name, team: team_name });
    let key = Key { name: issued.key, secret: issued.secret };
    sleep(HANDOVER).await;
    let Some(old) = world.keys.lock().insert(team.to_owned(), key) else {
        return;
    };
    let run = || commands::revoke(&world.store, &old.name, &author);
    if accepted(world, run, |applied| applied.revision).await.is_some() {
        world.journal.note(Event::KeyRevoked { key: old.name.clone() });
        world.withdrawn.lock().push(old);
    }
}
