//! Gossip between daemons over UDP. Each daemon sends a report about itself five times per second,
//! and immediately after an urgent change, for example when a request starts to wait for a load.
//!
//! In a small fleet, every daemon sends its reports to all others. In a larger one, it sends them
//! to two relays and the lease holder. The first relay sends a digest of all reports to the whole
//! fleet; the second does so while the first is silent. The lease holder tells a daemon directly of
//! changes that let its waiting requests proceed. The traffic of a daemon that isn't a relay
//! therefore grows with the fleet only in the length of the digest.
//!
//! Each datagram carries a MAC under a key from the store, which proves that it comes from a daemon
//! of this fleet. Datagrams contain totals and states, not increments, so the loss of one only
//! causes a delay.

mod digest;
mod holder;
mod keys;
mod limits;
mod member;
mod origins;
mod quarantine;
mod reports;
mod speeds;
mod usage;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::serving::polling::FleetTiming;
use corianderyoke_coord::serving::roster::Daemon;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use corianderyoke_wire::word::datagram::Body;
use corianderyoke_wire::word::Datagram;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

pub use crate::peers::keys::PeerKey;
pub use crate::peers::keys::PeerKeys;
pub use crate::peers::speeds::Index as SpeedIndex;
use crate::state::Shared;
use crate::state::State;

/// Interval between two reports while nothing is urgent, in a fleet of up to
/// [`INTERVAL_FLEET_SIZE`] daemons.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of daemons above which the interval grows, so that the load of a relay stays constant.
const INTERVAL_FLEET_SIZE: usize = 100;
/// Least time between two reports.
const MIN_REPORT_GAP: Duration = Duration::from_millis(8);
/// Least time between two digests, because each is sent to the whole fleet.
const MIN_DIGEST_GAP: Duration = Duration::from_millis(60);
/// Largest fleet in which every daemon sends its reports to all others.
const MAX_MESH_SIZE: usize = 12;
/// Number of relays in a larger fleet.
const RELAY_COUNT: usize = 2;
/// Time without a digest after which the second relay takes over.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest datagram that is received.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Latest messages that this daemon sent.
#[derive(Clone, Copy, Debug, Default)]
struct SentMessages {
    /// Sequence number of the latest report.
    number: u64,
    /// Time of the latest report.
    report: Tick,
    /// Sequence number of the latest counts of usage.
    usage_number: u64,
    /// Sequence number of the latest digest.
    digest_number: u64,
    /// Time of the latest digest of either kind, as a relay.
    digest: Tick,
    /// Time of the latest full digest, which covers daemons, engines and the lease holder.
    full_digest: Tick,
}

/// Sends reports, and digests if this daemon is a relay, until the task is aborted.
pub async fn send_reports(socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    let mut sent = SentMessages::default();
    loop {
        let (outgoing, due) = compose(&shared, clock::now(), &mut sent);
        for (body, addresses) in outgoing {
            let bytes = Datagram { body: Some(body) }.encode_to_vec();
            let Some(datagram) = shared.peer_keys.lock().sign(bytes) else { continue };
            for address in addresses {
                // A datagram that can't be sent counts as lost.
                let _ = socket.send_to(&datagram, address).await;
            }
        }
        sleep(MIN_REPORT_GAP).await;
        // Wakes on a notification, or when the next message is due.
        let _ = timeout(due.since(clock::now()), shared.report_now.notified()).await;
    }
}

/// Receives and handles the other daemons' datagrams until the task is aborted.
pub async fn receive_messages(socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            sleep(MIN_REPORT_GAP).await;
            continue;
        };
        let now = clock::now();
        match verify(&shared.peer_keys.lock(), &buffer[..length]) {
            Some(Body::Word(report)) => reports::handle_report(&shared, report, now),
            Some(Body::Digest(digest)) => digest::handle_digest(&shared, digest, now),
            Some(Body::Changes(changes)) => holder::handle_direct(&shared, &changes, now),
            Some(Body::Usage(counts)) => usage::handle(&shared, counts, now),
            None => {}
        }
    }
}

/// Returns the interval between two reports, which grows with the fleet.
pub fn report_interval(state: &State) -> Duration {
    REPORT_INTERVAL * state.roster.size().div_ceil(INTERVAL_FLEET_SIZE).max(1) as u32
}

/// Returns the properties of the fleet that determine how often to poll the engines' entries.
pub fn fleet_timing(shared: &Shared, state: &State) -> FleetTiming {
    let drain = shared.settings.bounds.drain();
    FleetTiming { size: state.roster.size(), report_interval: report_interval(state), drain }
}

/// Returns whether this daemon receives the reports of all others directly.
pub fn receives_all_reports(state: &State) -> bool {
    state.is_relay || state.roster.size() <= MAX_MESH_SIZE
}

/// Returns the messages to send now, each with its recipients, and the time at which the next one is
/// due unless a notification arrives before.
fn compose(
    shared: &Shared,
    now: Tick,
    sent: &mut SentMessages,
) -> (Vec<(Body, Vec<SocketAddr>)>, Tick) {
    let mut guard = shared.state();
    let state = &mut *guard;
    for name in state.roster.take_timed_out(now) {
        events::log(Event::PeerSilent, format_args!("name={name}"));
    }
    let interval = report_interval(state);
    let counts = usage::compose(shared, state, sent, now);
    let all_addresses = |state: &State| state.roster.known().map(|daemon| daemon.peers).collect();
    if state.roster.size() <= MAX_MESH_SIZE {
        state.is_relay = false;
        let report = compose_report(shared, state, now, sent);
        let outgoing = [(report, all_addresses(state))].into_iter().chain(counts);
        return (outgoing.collect(), now + interval);
    }
    let direct = holder::compose_direct(state, now);
    let mut outgoing: Vec<(Body, Vec<SocketAddr>)> =
        direct.into_iter().map(|(changes, to)| (Body::Changes(changes), vec![to])).collect();
    outgoing.extend(counts);
    let relays = state.roster.relays(&own_daemon(shared), RELAY_COUNT, now);
    let rank = relays.iter().position(|relay| relay.name == shared.settings.name);
    state.is_relay = rank.is_some();
    if state.report_pending || now.since(sent.report) >= interval {
        let others = relays.iter().filter(|relay| relay.name != shared.settings.name);
        let mut recipients: Vec<SocketAddr> = others.map(|relay| relay.peers).collect();
        recipients.extend(holder_address(state, now));
        recipients.sort_unstable();
        recipients.dedup();
        outgoing.push((compose_report(shared, state, now, sent), recipients));
    }
    let mut due = sent.report + interval;
    let sends_digests = match rank {
        Some(0) => true,
        Some(_) => state.digest_age(now) > RELAY_TIMEOUT,
        None => false,
    };
    if !sends_digests {
        state.relay_pending = false;
        return (outgoing, due);
    }
    let is_full = now.since(sent.full_digest) >= interval;
    if is_full || (state.relay_pending && now.since(sent.digest) >= MIN_DIGEST_GAP) {
        sent.digest = now;
        sent.digest_number += 1;
        if is_full {
            sent.full_digest = now;
        }
        state.relay_pending = false;
        let number = sent.digest_number;
        let digest = digest::compose(shared, state, number, is_full, now);
        outgoing.push((Body::Digest(digest), all_addresses(state)));
    }
    due = due.min(sent.full_digest + interval);
    if state.relay_pending {
        due = due.min(sent.digest + MIN_DIGEST_GAP);
    }
    (outgoing, due)
}

fn compose_report(shared: &Shared, state: &mut State, now: Tick, sent: &mut SentMessages) -> Body {
    sent.number += 1;
    sent.report = now;
    state.report_pending = false;
    Body::Word(reports::compose(shared, state, sent.number, now))
}

/// Returns the address of the lease holder, unless this daemon is the holder.
fn holder_address(state: &State, now: Tick) -> Option<SocketAddr> {
    if state.holds_lease(now) {
        return None;
    }
    state.roster.address(state.lease.holder()?)
}

/// Returns the description of this daemon that the others receive.
pub fn own_daemon(shared: &Shared) -> Daemon {
    let settings = &shared.settings;
    Daemon {
        name: settings.name.clone(),
        incarnation: shared.incarnation(),
        peers: settings.peers,
        callers: settings.callers,
        zone: settings.zone.clone(),
        capacity: settings.capacity,
    }
}

/// Returns the age of a moment for a message, in milliseconds.
fn age_ms(at: Tick, now: Tick) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the moment that a message received now gives by its age in milliseconds.
fn time_of(age_ms: u32, now: Tick) -> Tick {
    now - Duration::from_millis(u64::from(age_ms))
}

/// Decodes a datagram. Returns `None` if the MAC or the encoding is invalid.
fn verify(keys: &PeerKeys, datagram: &[u8]) -> Option<Body> {
    Datagram::decode(keys.verify(datagram)?).ok()?.body
}
