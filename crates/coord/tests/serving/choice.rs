//! Which engine a request goes to, by the load pattern that it answers.

use std::time::Duration;

use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::choice::choose;
use corianderyoke_coord::serving::choice::first_token_timeout;
use corianderyoke_coord::serving::choice::preferred_engine;
use corianderyoke_coord::serving::choice::CacheScope;
use corianderyoke_coord::serving::choice::Candidate;
use corianderyoke_coord::serving::choice::ChoiceSettings;
use corianderyoke_coord::serving::choice::Load;
use corianderyoke_coord::serving::choice::Need;
use corianderyoke_coord::serving::choice::Part;
use corianderyoke_coord::serving::choice::PrefixTracker;

use crate::fixtures::ms;

fn need() -> Need {
    let part = |id, tokens| Part { id, tokens };
    let parts = vec![part(1, 2_500), part(2, 3_800), part(3, 2_900)];
    Need { prompt: 9_200, output: 50, parts }
}

fn candidate(index: u32) -> Candidate {
    Candidate {
        key: UpstreamKey(index),
        load: Load::default(),
        slots: 64,
        capacity: 200_000,
        cached_tokens: 0,
        same_zone: true,
    }
}

fn chosen(candidates: &[Candidate]) -> Option<u32> {
    choose(&ChoiceSettings::default(), &need(), candidates, 0).map(|best| best.key.0)
}

#[test]
fn requests_spread_over_engines_that_are_equally_good() {
    let candidates = [candidate(1), candidate(2), candidate(3)];
    let settings = ChoiceSettings::default();
    let mut counts = [0; 4];
    for seed in 0..300 {
        let best = choose(&settings, &need(), &candidates, seed).expect("all have room");
        counts[best.key.0 as usize] += 1;
    }
    assert!(counts[1..].iter().all(|count| *count >= 60), "{counts:?}");
}

#[test]
fn a_long_shared_prompt_goes_where_it_was_read() {
    let read = Candidate { cached_tokens: 6_300, same_zone: false, ..candidate(2) };
    assert_eq!(chosen(&[candidate(1), read]), Some(2));
}

#[test]
fn a_burst_on_one_prompt_spreads_once_its_engine_reads_too_much() {
    let load = Load { running: 3, unread: 9_000, tokens: 27_000 };
    let read = Candidate { cached_tokens: 6_300, load, ..candidate(2) };
    assert_eq!(chosen(&[candidate(1), read]), Some(1));
}

#[test]
fn short_requests_stay_in_their_zone() {
    let far = Candidate { same_zone: false, ..candidate(2) };
    let near = Candidate { load: Load { running: 1, ..Load::default() }, ..candidate(1) };
    assert_eq!(chosen(&[far, near]), Some(1));
}

#[test]
fn full_engines_get_nothing_more() {
    let slots = Candidate { load: Load { running: 64, ..Load::default() }, ..candidate(1) };
    let memory = Load { running: 5, unread: 0, tokens: 185_000 };
    let memory = Candidate { load: memory, ..candidate(2) };
    assert_eq!(chosen(&[slots, memory]), None);
}

#[test]
fn an_engine_with_much_to_read_is_given_longer_before_a_prompt_is_read_elsewhere_too() {
    let objective = Duration::from_millis(800);
    let settings = ChoiceSettings::default();
    let load = Load { running: 36, unread: 20_000, tokens: 150_000 };
    let busy = Candidate { load, ..candidate(1) };
    let given =
        |engine: Candidate| first_token_timeout(objective, engine.expected(&settings, &need()));
    // Reading what lies before it alone takes 0.67 s.
    assert!(given(busy) >= objective + Duration::from_millis(1_300));
    assert!(given(candidate(1)) < objective * 3);
}

#[test]
fn all_daemons_send_a_prompt_to_the_same_engine_first() {
    let names = [(UpstreamKey(1), "e1"), (UpstreamKey(2), "e2"), (UpstreamKey(3), "e3")];
    let other = [(UpstreamKey(9), "e3"), (UpstreamKey(8), "e2"), (UpstreamKey(7), "e1")];
    for shared in 0..50 {
        let here = preferred_engine(shared, names.into_iter());
        let there = preferred_engine(shared, other.into_iter());
        let named = |key: Option<UpstreamKey>, list: [(UpstreamKey, &'static str); 3]| {
            list.into_iter().find(|(other, _)| Some(*other) == key).map(|(_, name)| name)
        };
        assert_eq!(named(here, names), named(there, other));
    }
}

#[test]
fn only_the_unbroken_beginning_of_a_prompt_counts_as_kept() {
    let reader = CacheScope { engine: UpstreamKey(1), model: ModelKey(1), adapter: None };
    let mut prefixes = PrefixTracker::default();
    prefixes.record_prompt(reader, &need(), ms(0));
    let mut other = need();
    other.parts[2].id = 9;
    assert_eq!(prefixes.cached_tokens(reader, &other, ms(1)), 6_300);
    other.parts[0].id = 8;
    assert_eq!(prefixes.cached_tokens(reader, &other, ms(1)), 0);
    assert_eq!(prefixes.cached_tokens(reader, &need(), ms(60_000)), 0);
    prefixes.forget_engine(UpstreamKey(1));
    assert_eq!(prefixes.cached_tokens(reader, &need(), ms(1)), 0);
}
