//! Tests of positions in the history of a store that is restored from older copies.

use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::serving::position::Timeline;
use proptest::prelude::*;

/// Guards against processes that take a lower incarnation than their predecessors.
#[test]
fn number_of_a_position_is_ordered_like_the_position() {
    let positions = [(0, 7), (1, 0), (1, 9_000_000_000), (2, 3), (70_000, 1)];
    let numbers = positions.map(|(era, version)| Position { era, version }.to_number());
    assert!(numbers.is_sorted(), "{numbers:?}");
}

#[test]
fn rows_up_to_the_first_read_of_an_era_count_as_older() {
    let mut timeline = Timeline::default();
    timeline.record_read(Position { era: 1, version: 40 });
    assert_eq!(timeline.locate(90), Position { era: 1, version: 90 });
    timeline.record_read(Position { era: 2, version: 60 });
    timeline.record_read(Position { era: 2, version: 70 });
    assert_eq!(timeline.locate(60), Position { era: 1, version: 60 });
    assert_eq!(timeline.locate(61), Position { era: 2, version: 61 });
    assert_eq!(timeline.present(60), Position { era: 2, version: 60 });
    // The store came back twice before it was read again, from a copy of the first era.
    timeline.record_read(Position { era: 4, version: 50 });
    assert_eq!(timeline.locate(50), Position { era: 1, version: 50 });
    assert_eq!(timeline.locate(51), Position { era: 4, version: 51 });
}

proptest! {
    // Restorations and reads at any moments. A row that survives in the copy is never taken for
    // newer than what was written after it, and what is written after a read always counts as newer.
    #[test]
    fn copies_of_rows_never_count_as_newer(
        steps in prop::collection::vec((0_u8..4, 1_u64..30), 1..60),
    ) {
        let (mut era, mut version) = (1, 1);
        let mut timeline = Timeline::default();
        timeline.record_read(Position { era, version });
        // The latest position that the reader applied.
        let mut known = Position { era, version };
        for (step, amount) in steps {
            match step {
                0 => {
                    era += 1;
                    version = version.saturating_sub(amount).max(1);
                }
                1 => {
                    timeline.record_read(Position { era, version });
                    let row = timeline.locate(version);
                    prop_assert!(row.era <= era);
                    known = known.max(row);
                }
                _ => {
                    version += amount;
                    timeline.record_read(Position { era, version });
                    version += 1;
                    let written = timeline.locate(version);
                    prop_assert_eq!(written.era, era);
                    prop_assert!(written > known);
                    known = written;
                }
            }
        }
    }
}
