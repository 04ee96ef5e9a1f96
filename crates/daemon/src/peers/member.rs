//! Encodes and decodes the description of a daemon in reports and digests.

use corianderyoke_coord::serving::roster::Daemon;
use corianderyoke_coord::serving::roster::Fitness;
use corianderyoke_wire::word;
use corianderyoke_wire::word::Member;

/// Encodes the description of a daemon.
pub fn encode(daemon: &Daemon, fitness: Fitness) -> Member {
    let fitness = match fitness {
        Fitness::Unready => word::Fitness::Unready,
        Fitness::Ready => word::Fitness::Ready,
        Fitness::Detached => word::Fitness::Detached,
        Fitness::Leaving => word::Fitness::Leaving,
    };
    Member {
        name: daemon.name.clone(),
        incarnation: daemon.incarnation,
        peers: daemon.peers.to_string(),
        callers: daemon.callers.to_string(),
        zone: daemon.zone.clone(),
        fitness: fitness.into(),
        capacity: daemon.capacity,
    }
}

/// Decodes the description of a daemon. Returns `None` if an address is invalid.
pub fn decode(member: &Member) -> Option<(Daemon, Fitness)> {
    let fitness = match member.fitness() {
        word::Fitness::Unready => Fitness::Unready,
        word::Fitness::Ready => Fitness::Ready,
        word::Fitness::Detached => Fitness::Detached,
        word::Fitness::Leaving => Fitness::Leaving,
    };
    let daemon = Daemon {
        name: member.name.clone(),
        incarnation: member.incarnation,
        peers: member.peers.parse().ok()?,
        callers: member.callers.parse().ok()?,
        zone: member.zone.clone(),
        capacity: member.capacity,
    };
    Some((daemon, fitness))
}
