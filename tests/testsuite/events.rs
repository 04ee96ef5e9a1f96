//! Tests that the documented catalogue of log events matches the code.

use std::fmt::Write;

use corianderyoke::util::events::Event;

const CATALOGUE: &str = include_str!("../../docs/EVENTS.md");

#[test]
fn catalogue_matches_the_code() {
    let mut rows = String::new();
    for event in Event::ALL {
        let level = event.level().as_str().to_lowercase();
        let (code, summary) = (event.code(), event.summary());
        writeln!(rows, "| E{code} | {level} | {event:?} | {summary} |").unwrap();
    }
    let table = CATALOGUE.split_once("|---|---|---|---|\n").unwrap().1;
    assert_eq!(table, rows);
}

#[test]
fn codes_increase_and_are_unique() {
    let codes: Vec<u16> = Event::ALL.iter().map(|event| event.code()).collect();
    assert!(codes.windows(2).all(|pair| pair[0] < pair[1]), "{codes:?}");
}
