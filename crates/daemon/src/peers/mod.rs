//! Word between daemons: a datagram a fifth of a second, and at once where somebody waits.
//!
//! A small fleet's daemons all tell each other. In a larger one each tells two relays and the
//! holder of the lease, and the first relay tells everybody a digest; the second does where the
//! first is silent. So a daemon's traffic grows with the fleet only in the length of the digest.
//!
//! Datagrams bear a MAC under a key that lies in the store, so that only daemons of this fleet are
//! believed. Everything in them is a total or a state, so a lost one costs only time.

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

/// Time between two words while nothing is urgent, in a fleet of up to [`SPARSE`] daemons.
const EVERY: Duration = Duration::from_millis(200);
/// Daemons above which words become rarer, so that a relay's work stays the same.
const SPARSE: usize = 100;
/// Least time between two words.
const GAP: Duration = Duration::from_millis(8);
/// Least time between two digests: each goes to the whole fleet.
const DIGEST_GAP: Duration = Duration::from_millis(60);
/// Most daemons that all tell each other.
const MESH: usize = 12;
/// Daemons that hear everybody in a larger fleet.
const RELAYS: usize = 2;
/// Time without a digest after which the second relay tells everybody.
const RELAY_SILENCE: Duration = Duration::from_millis(700);
/// Largest datagram that is taken in, in bytes.
const MOST_BYTES: usize = 65_536;
/// Bytes of the MAC at the end of a datagram.
const MAC_BYTES: usize = 32;

/// When a relay told last.
#[derive(Clone, Copy, Debug, Default)]
struct Spoken {
    /// A digest.
    any: Tick,
    /// A whole one.
    whole: Tick,
}

/// Tells the other daemons of this one until the task is ended.
pub async fn tell(socket: Arc<UdpSocket>, key: hmac::Key, shared: Arc<Shared>) {
    let mut number = 0;
    let mut spoken = Spoken::default();
    loop {
        number += 1;
        let now = clock::now();
        let outgoing = compose(&shared, number, now, &mut spoken);
        for (body, addresses) in outgoing {
            let datagram = sealed(&key, Datagram { body: Some(body) }.encode_to_vec());
            for address in addresses {
                // A datagram that can't be sent is like one that was lost.
                let _ = socket.send_to(&datagram, address).await;
            }
        }
        sleep(GAP).await;
        let left = {
            let state = shared.state();
            if state.relay_pending {
                DIGEST_GAP
            } else {
                pause(&state) - GAP
            }
        };
        // Either somebody waits, or it is time.
        let _ = timeout(left, shared.report_now.notified()).await;
    }
}

/// Hears the other daemons until the task is ended.
pub async fn hear(socket: Arc<UdpSocket>, key: hmac::Key, shared: Arc<Shared>) {
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            sleep(GAP).await;
            continue;
        };
        let now = clock::now();
        match open(&key, &buffer[..length]) {
            Some(Body::Word(word)) => reports::take(&shared, word, now),
            Some(Body::Digest(digest)) => digest::take(&shared, digest, now),
            None => {}
        }
    }
}

/// Time between two words, which grows with the fleet.
fn pause(state: &State) -> Duration {
    EVERY * state.roster.size().div_ceil(SPARSE).max(1) as u32
}

/// What the fleet is like for a daemon that reads the engines' entries.
pub fn fleet(shared: &Shared, state: &State) -> FleetTiming {
    let drain = shared.settings.bounds.drain();
    FleetTiming { size: state.roster.size(), report_interval: pause(state), drain }
}

/// Whether this daemon hears the words of all others itself.
fn hears_all(state: &State) -> bool {
    state.is_relay || state.roster.size() <= MESH
}

/// What is to be sent now, and to whom.
fn compose(
    shared: &Shared,
    number: u64,
    now: Tick,
    spoken: &mut Spoken,
) -> Vec<(Body, Vec<SocketAddr>)> {
    let mut guard = shared.state();
    let state = &mut *guard;
    for name in state.roster.take_timed_out(now) {
        events::log(Event::PeerSilent, format_args!("name={name}"));
    }
    let word = Body::Word(reports::compose(shared, state, number, now));
    let all = |state: &State| state.roster.known().map(|daemon| daemon.peers).collect();
    if state.roster.size() <= MESH {
        state.is_relay = false;
        return vec![(word, all(state))];
    }
    let relays = state.roster.relays(&myself(shared), RELAYS, now);
    let rank = relays.iter().position(|relay| relay.name == shared.settings.name);
    state.is_relay = rank.is_some();
    let others = relays.iter().filter(|relay| relay.name != shared.settings.name);
    let mut direct: Vec<SocketAddr> = others.map(|relay| relay.peers).collect();
    direct.extend(listeners(state, now));
    direct.sort_unstable();
    direct.dedup();
    let mut outgoing = vec![(word, direct)];
    let whole = now.since(spoken.whole) >= pause(state) - GAP;
    let due = whole || (state.relay_pending && now.since(spoken.any) >= DIGEST_GAP);
    let speaks = match rank {
        Some(0) => due,
        Some(_) => due && state.digest_age(now) > RELAY_SILENCE,
        None => false,
    };
    if speaks {
        spoken.any = now;
        if whole {
            spoken.whole = now;
        }
        state.relay_pending = false;
        let digest = digest::compose(shared, state, whole, now);
        outgoing.push((Body::Digest(digest), all(state)));
    }
    outgoing
}

/// Whom a daemon tells besides the relays: the holder of the lease; and as the holder, whoever
/// waits for an engine to hold something.
fn listeners(state: &State, now: Tick) -> Vec<SocketAddr> {
    let named = |name: &str| {
        state.roster.known().find(|daemon| daemon.name == name).map(|daemon| daemon.peers)
    };
    if !state.holds_lease(now) {
        return state.lease.holder().and_then(named).into_iter().collect();
    }
    let waiting =
        state.reports.iter().filter(|(_, report)| report.has_waiting && report.is_fresh(now));
    waiting.filter_map(|(name, _)| named(name)).collect()
}

/// This daemon as the others know it.
pub fn myself(shared: &Shared) -> Daemon {
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

fn sealed(key: &hmac::Key, mut bytes: Vec<u8>) -> Vec<u8> {
    let tag = hmac::sign(key, &bytes);
    bytes.extend_from_slice(tag.as_ref());
    bytes
}

/// What is in a datagram, if it bears the fleet's MAC.
fn open(key: &hmac::Key, datagram: &[u8]) -> Option<Body> {
    let (bytes, tag) = datagram.split_at_checked(datagram.len().checked_sub(MAC_BYTES)?)?;
    hmac::verify(key, bytes, tag).ok()?;
    Datagram::decode(bytes).ok()?.body
}
