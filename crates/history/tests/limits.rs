//! Compares the one-pass check of team limits with their definition over all windows.

mod text;

use std::cell::Cell;

use corianderyoke_history::checks::limits;
use proptest::collection::vec;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

/// Tokens per second.
const RATE: u64 = 8;
/// Tokens.
const BURST: u64 = 12;
const CASES: u32 = 2000;

/// Whether the tokens in every window stay within rate times window plus burst. Times are in
/// milliseconds.
fn is_within_limit(admissions: &[(u64, u64)]) -> bool {
    (0..admissions.len()).all(|first| {
        let mut sum = 0;
        admissions[first..].iter().all(|(at, tokens)| {
            sum += tokens * 1000;
            sum <= RATE * (at - admissions[first].0) + BURST * 1000
        })
    })
}

#[test]
fn one_pass_agrees_with_all_windows() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = vec((0_u64..900, 1_u64..7, 0_u64..7), 1..24);
    let clean_cases = Cell::new(0);
    let result = runner.run(&steps, |steps| {
        let mut lines = format!("0 o team_limit team=t rate={RATE} burst={BURST}\n");
        let mut admissions = Vec::new();
        let mut now = 0;
        for (index, (gap_ms, used, returned)) in steps.iter().enumerate() {
            now += gap_ms;
            admissions.push((now, *used));
            let reserved = used + returned;
            lines += &format!("{now} r admission request=q{index} team=t tokens={reserved}\n");
            lines += &format!("{now} r returned request=q{index} team=t tokens={returned}\n");
        }
        let clean = limits::check(&text::history(&lines)).violations.is_empty();
        assert_eq!(clean, is_within_limit(&admissions), "{lines}");
        clean_cases.set(clean_cases.get() + u32::from(clean));
        Ok(())
    });
    result.expect("the one-pass check disagrees with the definition");
    // The comparison is meaningful only if both results occur often.
    assert!((CASES / 10..CASES * 9 / 10).contains(&clean_cases.get()), "{clean_cases:?}");
}
