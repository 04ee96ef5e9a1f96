//! Tests of the routes, keys and splits of a desired state.

use std::time::Duration;

use corianderyoke_coord::serving::desired::digest;
use corianderyoke_coord::serving::desired::Desired;
use corianderyoke_coord::serving::desired::Repeat;
use corianderyoke_coord::serving::desired::Route;
use corianderyoke_coord::serving::desired::Split;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(300),
        event_gap: Duration::ZERO,
        priority: 0,
        splits: vec![Split { service: "s".to_owned(), weight: 1 }],
        attempts: 1,
        public: false,
    }
}

#[test]
fn longest_matching_prefix_wins() {
    let routes = vec![route("all", "/"), route("long", "/a/b/"), route("short", "/a/")];
    let desired = Desired { routes, ..Desired::default() };
    let found = |host, path| desired.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found("a.example", "/a/b/c"), Some("long"));
    assert_eq!(found("A.EXAMPLE", "/a/x"), Some("short"));
    assert_eq!(found("a.example", "/ab"), Some("all"));
    assert_eq!(found("b.example", "/a/"), None);
}

#[test]
fn key_identifies_its_team() {
    let keys = [(digest(b"secret"), "team".to_owned())].into_iter().collect();
    let desired = Desired { keys, ..Desired::default() };
    assert_eq!(desired.team_for_key(b"secret"), Some("team"));
    assert_eq!(desired.team_for_key(b"other"), None);
}

#[test]
fn splits_divide_requests_by_weight() {
    let split = |service: &str, weight| Split { service: service.to_owned(), weight };
    let splits = vec![split("nine", 9), split("none", 0), split("one", 1)];
    let route = Route { splits, ..route("r", "/") };
    let count = |name| (0..1_000).filter(|seed| route.service(*seed) == Some(name)).count();
    assert_eq!([count("nine"), count("none"), count("one")], [900, 0, 100]);
}

#[test]
fn only_streams_have_first_event_timeout() {
    let stream =
        Route { repeat: Repeat::Stream, event_gap: Duration::from_millis(500), ..route("r", "/") };
    assert_eq!(stream.first_event_timeout(), Some(Duration::from_secs(4)));
    assert_eq!(route("r", "/").first_event_timeout(), None);
}
