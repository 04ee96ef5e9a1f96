//! Exchange of the counts for the usage reports: each daemon sends its own to the lease holder, which
//! announces the fleet's time and the windows that are closed.

use std::net::SocketAddr;

use corianderyoke_coord::serving::usage::Announcement;
use corianderyoke_coord::serving::usage::Counts;
use corianderyoke_coord::serving::usage::Relayed;
use corianderyoke_coord::serving::usage::Report;
use corianderyoke_coord::serving::usage::Usage;
use corianderyoke_coord::time::Tick;
use corianderyoke_wire::word;
use corianderyoke_wire::word::datagram::Body;
use indexmap::IndexSet;

use crate::peers::holder_address;
use crate::peers::report_interval;
use crate::peers::SentMessages;
use crate::state::Shared;
use crate::state::State;

/// Number of likely holders to which counts are sent that would be lost otherwise: those of the holder,
/// and those of all while there is none.
const SUCCESSOR_COUNT: usize = 2;
/// Number of report intervals without an announcement after which there may be no holder.
const HOLDER_INTERVALS: u32 = 4;

/// Composes this daemon's counts for the lease holder, or for those that claim the lease next, if they
/// are due.
pub fn compose(
    shared: &Shared,
    state: &mut State,
    sent: &mut SentMessages,
    now: Tick,
) -> Option<(Body, Vec<SocketAddr>)> {
    state.usage.as_ref()?;
    let mut recipients: Vec<SocketAddr> = holder_address(state, now).into_iter().collect();
    let lag = report_interval(state) * HOLDER_INTERVALS;
    if recipients.is_empty() || state.lease.vacant_until(lag, now).is_some() {
        recipients.extend(state.roster.candidates(SUCCESSOR_COUNT, now));
        recipients.sort_unstable();
        recipients.dedup();
    }
    if recipients.is_empty() {
        return None;
    }
    let report = state.usage.as_mut()?.take_report(now)?;
    sent.usage_number += 1;
    let name = shared.settings.name.clone();
    let mut message = encode(report, name, shared.incarnation(), sent.usage_number);
    let live = state.roster.live(now);
    let live: Vec<(String, u64)> =
        live.map(|daemon| (daemon.name.clone(), daemon.incarnation)).collect();
    let relayed = state.usage.as_ref()?.relayed(&live).into_iter();
    let relayed = relayed.map(|Relayed { name, incarnation, number, report }| {
        encode(report, name, incarnation, number)
    });
    message.relayed = relayed.collect();
    Some((Body::Usage(message), recipients))
}

fn encode(report: Report, name: String, incarnation: u64, number: u64) -> word::Usage {
    let names = report.windows.iter().flat_map(|(_, counts)| counts.keys());
    let teams: IndexSet<&String> = names.collect();
    let windows = report.windows.iter().map(|(window, counts)| {
        let count = |team: &&String| counts.get(*team).copied().unwrap_or(0);
        word::UsageWindow { window: *window, counts: teams.iter().map(count).collect() }
    });
    word::Usage {
        daemon: name,
        incarnation,
        number,
        offset: report.offset,
        open: report.open,
        windows: windows.collect(),
        teams: teams.into_iter().cloned().collect(),
        state: report.state.map(encode_state),
        relayed: Vec::new(),
    }
}

/// Handles the counts of another daemon, and those of others that it relays.
pub fn handle(shared: &Shared, message: word::Usage, now: Tick) {
    if message.daemon == shared.settings.name {
        return;
    }
    let mut state = shared.state();
    let Some(usage) = &mut state.usage else { return };
    let (mut message, own) = (message, shared.incarnation());
    for relayed in std::mem::take(&mut message.relayed) {
        // Those of this daemon's former processes count as well.
        if relayed.daemon != shared.settings.name || relayed.incarnation < own {
            record(usage, relayed, now);
        }
    }
    record(usage, message, now);
}

fn record(usage: &mut Usage, message: word::Usage, now: Tick) {
    let word::Usage { daemon, incarnation, number, offset, open, teams, windows, state, .. } =
        message;
    let decode = |window: word::UsageWindow| {
        let counts = teams.iter().cloned().zip(window.counts).filter(|(_, count)| *count > 0);
        (window.window, counts.collect::<Counts>())
    };
    let windows = windows.into_iter().map(decode).collect();
    let state = state.as_ref().map(decode_state);
    let report = Report { offset, open, windows, state };
    usage.record_report(&daemon, incarnation, number, report, now);
}

fn encode_state(announcement: Announcement) -> word::UsageState {
    let Announcement { offset, closed, done, era, since } = announcement;
    word::UsageState { offset, closed, done, era, since }
}

fn decode_state(state: &word::UsageState) -> Announcement {
    let word::UsageState { offset, closed, done, era, since } = *state;
    Announcement { offset, closed, done, era, since }
}

/// Returns what the lease holder announces.
pub fn announcement(state: &State) -> Option<word::UsageState> {
    Some(encode_state(state.usage.as_ref()?.announcement()?))
}

/// Records what the lease holder announced, if anything.
pub fn record_announcement(state: &mut State, announced: Option<&word::UsageState>, now: Tick) {
    let Some(usage) = &mut state.usage else { return };
    match announced {
        Some(announced) => usage.record_announcement(decode_state(announced), now),
        None => usage.record_unannounced(),
    }
}
