//! Gossip between daemons over UDP. Each daemon sends a report about itself five times per second,
//! and immediately after an urgent change, for example when a request starts to wait for a load.
//!
//! In a small fleet, every daemon sends its reports to all others. In a larger one, it sends them
//! to two relays and the lease holder. The first relay sends a digest of all reports to the whole
//! fleet; the second does so while the first is silent. The traffic of a daemon that isn't a relay
//! therefore grows with the fleet only in the length of the digest.
//!
//! Each datagram carries a MAC under a key from the store, which proves that it comes from a daemon
//! of this fleet. Datagrams contain totals and states, not increments, so the loss of one only
//! causes a delay.

mod digest;
mod holder;
mod member;
mod reports;

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
use ring::hmac;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

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
/// Length of the MAC at the end of a datagram.
const MAC_BYTES: usize = 32;

/// Times at which this daemon, as a relay, sent its latest digests.
#[derive(Clone, Copy, Debug, Default)]
struct DigestTimes {
    /// Latest digest of either kind.
    latest: Tick,
    /// Latest full digest, which covers daemons, engines and the lease holder.
    latest_full: Tick,
}

/// Sends reports, and digests if this daemon is a relay, until the task is aborted.
pub async fn send_reports(socket: Arc<UdpSocket>, key: hmac::Key, shared: Arc<Shared>) {
    let mut number = 0;
    let mut digest_times = DigestTimes::default();
    loop {
        number += 1;
        let now = clock::now();
        let outgoing = compose(&shared, number, now, &mut digest_times);
        for (body, addresses) in outgoing {
            let datagram = sign(&key, Datagram { body: Some(body) }.encode_to_vec());
            for address in addresses {
                // A datagram that can't be sent counts as lost.
                let _ = socket.send_to(&datagram, address).await;
            }
        }
        sleep(MIN_REPORT_GAP).await;
        let left = {
            let state = shared.state();
            if state.relay_pending {
                MIN_DIGEST_GAP
            } else {
                report_interval(&state) - MIN_REPORT_GAP
            }
        };
        // Wakes on a notification, or when the next report is due.
        let _ = timeout(left, shared.report_now.notified()).await;
    }
}

/// Receives and handles the other daemons' datagrams until the task is aborted.
pub async fn receive_messages(socket: Arc<UdpSocket>, key: hmac::Key, shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            sleep(MIN_REPORT_GAP).await;
            continue;
        };
        let now = clock::now();
        match verify(&key, &buffer[..length]) {
            Some(Body::Word(report)) => reports::handle_report(&shared, report, now),
            Some(Body::Digest(digest)) => digest::handle_digest(&shared, digest, now),
            None => {}
        }
    }
}

/// Returns the interval between two reports, which grows with the fleet.
fn report_interval(state: &State) -> Duration {
    REPORT_INTERVAL * state.roster.size().div_ceil(INTERVAL_FLEET_SIZE).max(1) as u32
}

/// Returns the properties of the fleet that determine how often to poll the engines' entries.
pub fn fleet_timing(shared: &Shared, state: &State) -> FleetTiming {
    let drain = shared.settings.bounds.drain();
    FleetTiming { size: state.roster.size(), report_interval: report_interval(state), drain }
}

/// Returns whether this daemon receives the reports of all others directly.
fn receives_all_reports(state: &State) -> bool {
    state.is_relay || state.roster.size() <= MAX_MESH_SIZE
}

/// Returns the messages to send now, each with its recipients.
fn compose(
    shared: &Shared,
    number: u64,
    now: Tick,
    digest_times: &mut DigestTimes,
) -> Vec<(Body, Vec<SocketAddr>)> {
    let mut guard = shared.state();
    let state = &mut *guard;
    for name in state.roster.take_timed_out(now) {
        events::log(Event::PeerSilent, format_args!("name={name}"));
    }
    let report = Body::Word(reports::compose(shared, state, number, now));
    let all_addresses = |state: &State| state.roster.known().map(|daemon| daemon.peers).collect();
    if state.roster.size() <= MAX_MESH_SIZE {
        state.is_relay = false;
        return vec![(report, all_addresses(state))];
    }
    let relays = state.roster.relays(&own_daemon(shared), RELAY_COUNT, now);
    let rank = relays.iter().position(|relay| relay.name == shared.settings.name);
    state.is_relay = rank.is_some();
    let others = relays.iter().filter(|relay| relay.name != shared.settings.name);
    let mut recipients: Vec<SocketAddr> = others.map(|relay| relay.peers).collect();
    recipients.extend(direct_recipients(state, now));
    recipients.sort_unstable();
    recipients.dedup();
    let mut outgoing = vec![(report, recipients)];
    let is_full = now.since(digest_times.latest_full) >= report_interval(state) - MIN_REPORT_GAP;
    let is_due =
        is_full || (state.relay_pending && now.since(digest_times.latest) >= MIN_DIGEST_GAP);
    let sends_digest = match rank {
        Some(0) => is_due,
        Some(_) => is_due && state.digest_age(now) > RELAY_TIMEOUT,
        None => false,
    };
    if sends_digest {
        digest_times.latest = now;
        if is_full {
            digest_times.latest_full = now;
        }
        state.relay_pending = false;
        let digest = digest::compose(shared, state, is_full, now);
        outgoing.push((Body::Digest(digest), all_addresses(state)));
    }
    outgoing
}

/// Returns the recipients of reports in addition to the relays: the lease holder, or, if this
/// daemon is the holder, all daemons with requests that wait for a load.
fn direct_recipients(state: &State, now: Tick) -> Vec<SocketAddr> {
    let address_of = |name: &str| {
        state.roster.known().find(|daemon| daemon.name == name).map(|daemon| daemon.peers)
    };
    if !state.holds_lease(now) {
        return state.lease.holder().and_then(address_of).into_iter().collect();
    }
    let waiting =
        state.reports.iter().filter(|(_, report)| report.has_waiting && report.is_fresh(now));
    waiting.filter_map(|(name, _)| address_of(name)).collect()
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

fn sign(key: &hmac::Key, mut bytes: Vec<u8>) -> Vec<u8> {
    let tag = hmac::sign(key, &bytes);
    bytes.extend_from_slice(tag.as_ref());
    bytes
}

/// Decodes a datagram. Returns `None` if the MAC or the encoding is invalid.
fn verify(key: &hmac::Key, datagram: &[u8]) -> Option<Body> {
    let (bytes, tag) = datagram.split_at_checked(datagram.len().checked_sub(MAC_BYTES)?)?;
    hmac::verify(key, bytes, tag).ok()?;
    Datagram::decode(bytes).ok()?.body
}
