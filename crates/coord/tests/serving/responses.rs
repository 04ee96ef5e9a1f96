//! Tests of attributing responses on kept connections, for one connection and for fleets whose
//! engines write responses once more.

use corianderyoke_coord::serving::responses::ConnectionHistory;
use corianderyoke_coord::serving::responses::Execution;
use corianderyoke_coord::serving::responses::Origin;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Guards against a response to an earlier request that passes for the response to the last one.
#[test]
fn response_is_attributed_by_the_identifier_that_it_echoes() {
    let mut history = ConnectionHistory::default();
    history.begin("a");
    assert_eq!(
        ["a", "b", ""].map(|id| history.origin(id)),
        [Origin::Own, Origin::Other, Origin::Own]
    );
    assert!(history.end(true));
    history.begin("b");
    assert_eq!(
        ["a", "b", ""].map(|id| history.origin(id)),
        [Origin::Other, Origin::Own, Origin::Ambiguous]
    );
}

/// Guards against a refusal of the first sending of a request that passes for one of its second.
#[test]
fn request_that_was_refused_is_not_sent_on_the_same_connection_again() {
    let mut history = ConnectionHistory::default();
    history.begin("a");
    assert!(history.end(false));
    assert!(!history.may_carry("a"));
    assert!(history.may_carry("b"));
    history.begin("a");
    assert_eq!(history.origin("a"), Origin::Ambiguous);
}

/// Guards against a response that passes for one to a later request of the same identifier.
#[test]
fn identifier_of_a_served_request_is_not_sent_on_the_same_connection_again() {
    let mut history = ConnectionHistory::default();
    for id in ["a", "b", "c"] {
        history.begin(id);
        assert!(history.end(true));
    }
    assert_eq!(["a", "b", "c", "d"].map(|id| history.may_carry(id)), [false, false, false, true]);
    history.begin("a");
    assert_eq!(history.origin("a"), Origin::Ambiguous);
}

/// Guards against orders and reports whose responses can't be told from others.
#[test]
fn request_without_an_identifier_needs_a_new_connection() {
    let mut history = ConnectionHistory::default();
    assert!(history.may_carry(""));
    history.begin("");
    assert_eq!(history.origin(""), Origin::Own);
    assert!(history.end(false));
    assert!(!history.may_carry(""));
    history.begin("");
    assert_eq!(history.origin(""), Origin::Ambiguous);
}

/// Guards against a connection that remembers ever more refused requests.
#[test]
fn connection_is_given_up_after_many_refusals() {
    let mut history = ConnectionHistory::default();
    let kept = (0..100).take_while(|number| {
        history.begin(&number.to_string());
        history.end(false)
    });
    assert_eq!(kept.count(), 16);
}

/// Guards against statuses and headers that promise the caller more than the engine stated.
#[test]
fn only_a_stated_refusal_counts_as_not_executed() {
    for status in [400, 408, 429, 503] {
        assert_eq!(Execution::of(status, true), Execution::Refused);
    }
    assert_eq!(Execution::of(421, false), Execution::Misplaced);
    for status in [200, 400, 404, 500, 502, 504] {
        assert_eq!(Execution::of(status, false), Execution::Done);
    }
    for status in [408, 429, 503] {
        assert_eq!(Execution::of(status, false), Execution::Unclear);
    }
    for status in [101, 200, 404, 500, 502, 504] {
        assert_eq!(Execution::of(status, true), Execution::Unclear);
    }
    assert_eq!(Execution::of(101, false), Execution::Unclear);
}

/// Share of sendings that engines refuse.
const REFUSED: f64 = 0.3;
/// Share of responses that a faulty engine writes once more.
const REPEATED: f64 = 0.2;
/// Most sendings of a request.
const MAX_SENDINGS: usize = 4;
/// Requests per daemon.
const REQUESTS: usize = 60;

/// Response that an engine writes.
#[derive(Clone, Debug)]
struct Written {
    id: String,
    is_refusal: bool,
}

/// Connection with what the engine has written once more and the daemon hasn't read.
#[derive(Debug, Default)]
struct Connection {
    history: ConnectionHistory,
    unread: Option<Written>,
}

struct Simulation {
    rng: ChaCha8Rng,
    /// Idle connections by daemon and engine.
    idle: IndexMap<(usize, usize), Vec<Connection>>,
    runs: IndexMap<String, usize>,
    opened: usize,
    engine_count: usize,
    /// Whether engines write responses once more.
    are_faulty: bool,
}

impl Simulation {
    /// Sends a request once. Returns what its daemon believes: that it was served, refused, or, as
    /// `None`, nothing.
    fn send(&mut self, daemon: usize, id: &str) -> Option<Written> {
        let engine = self.rng.random_range(0..self.engine_count);
        let idle = self.idle.entry((daemon, engine)).or_default();
        let position = idle.iter().rposition(|idle| idle.history.may_carry(id));
        let mut connection = match position {
            Some(position) => idle.remove(position),
            None => {
                self.opened += 1;
                Connection::default()
            }
        };
        connection.history.begin(id);
        let is_refusal = self.rng.random_bool(REFUSED);
        if !is_refusal {
            *self.runs.entry(id.to_owned()).or_default() += 1;
        }
        let own = Written { id: id.to_owned(), is_refusal };
        let read = connection.unread.take().unwrap_or_else(|| own.clone());
        if connection.history.origin(&read.id) != Origin::Own {
            // The connection is given up, and with it the response.
            return None;
        }
        if connection.history.end(!read.is_refusal) {
            let is_repeated = self.are_faulty && self.rng.random_bool(REPEATED);
            connection.unread = is_repeated.then_some(own);
            self.idle.entry((daemon, engine)).or_default().push(connection);
        }
        Some(read)
    }

    /// Sends a request until it is served or its outcome is unknown. Returns whether its caller is
    /// told that it wasn't executed.
    fn serve(&mut self, daemon: usize, id: &str) -> bool {
        for _ in 0..MAX_SENDINGS {
            match self.send(daemon, id) {
                Some(Written { is_refusal: true, .. }) => {}
                _ => return false,
            }
        }
        true
    }
}

fn simulate(size: usize, are_faulty: bool) -> Simulation {
    let mut simulation = Simulation {
        rng: ChaCha8Rng::seed_from_u64(size as u64),
        idle: IndexMap::new(),
        runs: IndexMap::new(),
        opened: 0,
        engine_count: 4,
        are_faulty,
    };
    for number in 0..size * REQUESTS {
        let (daemon, id) = (number % size, format!("{number:x}"));
        let mut is_refused = simulation.serve(daemon, &id);
        // A caller that was told so may send the request again under its old identifier.
        if is_refused && simulation.rng.random_bool(0.5) {
            is_refused = simulation.serve(daemon, &id);
        }
        let runs = simulation.runs.get(&id).copied().unwrap_or(0);
        assert!(runs <= 1, "fleet of {size}: {id} ran {runs} times");
        assert!(!is_refused || runs == 0, "fleet of {size}: {id} was refused, but ran");
    }
    simulation
}

/// Guards against requests that run twice, or are refused and run, in fleets of any size.
#[test]
fn repeated_responses_mislead_no_daemon() {
    for size in [8, 80, 195, 510] {
        let simulation = simulate(size, true);
        assert!(simulation.runs.len() > size * REQUESTS / 2, "fleet of {size}");
    }
}

/// Guards against connections that aren't kept although their engines are sound.
#[test]
fn connections_to_sound_engines_are_kept_after_refusals() {
    for size in [8, 80, 195, 510] {
        let simulation = simulate(size, false);
        // Each daemon needs one connection to each engine, and others for requests that were refused
        // there before.
        let most = size * simulation.engine_count * (MAX_SENDINGS + 1);
        assert!(simulation.opened <= most, "fleet of {size}: {} connections", simulation.opened);
    }
}
