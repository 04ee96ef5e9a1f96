//! How often daemons read the engines' entries.

use std::time::Duration;

use corianderyoke_coord::serving::looks::Fleet;
use corianderyoke_coord::serving::looks::Told;

use crate::world::ms;

const DRAIN: Duration = Duration::from_millis(2_000);
const FLEET: Fleet = Fleet { size: 8, pause: Duration::from_millis(200), drain: DRAIN };
const FRESH: Duration = Duration::from_millis(50);

fn gap(told: &Told, at: u64) -> Duration {
    told.gap(false, FLEET, ms(at))
}

/// A daemon that heard the holder with token 1 and looked for itself once.
fn told() -> Told {
    let mut told = Told::default();
    told.hear(1, 1, 0, FRESH, ms(0));
    told.look();
    told
}

#[test]
fn a_daemon_that_is_told_everything_rarely_looks() {
    let mut told = told();
    assert!(gap(&told, 100) > DRAIN);
    told.hear(1, 1, 2, FRESH, ms(200));
    told.hear(1, 2, 3, FRESH, ms(400));
    assert_eq!(told.last(1), 3);
    assert!(gap(&told, 500) > DRAIN);
}

#[test]
fn it_looks_soon_where_it_may_have_missed_something() {
    let alone = Duration::from_millis(80);
    assert_eq!(gap(&Told::default(), 0), alone);
    let mut told = told();
    assert_eq!(gap(&told, 700), alone, "the holder fell silent");
    told.hear(1, 2, 2, FRESH, ms(800));
    assert_eq!(gap(&told, 900), alone, "the first change was lost");
    told.look();
    assert!(gap(&told, 900) > DRAIN);
    told.hear(2, 1, 0, FRESH, ms(1_000));
    assert_eq!(gap(&told, 1_100), alone, "another daemon tells");
    assert_eq!(told.last(2), 0);
}

#[test]
fn a_look_that_fails_makes_nothing_good() {
    let mut told = told();
    let look = told.look();
    told.fail(look);
    assert!(gap(&told, 100) > DRAIN, "nothing was missed before");
    told.hear(1, 3, 3, FRESH, ms(200));
    let look = told.look();
    told.fail(look);
    assert_eq!(gap(&told, 300), Duration::from_millis(80));
}

#[test]
fn a_holder_that_cannot_read_the_entries_does_not_count() {
    let mut told = told();
    told.hear(1, 1, 0, Duration::from_millis(900), ms(200));
    assert_eq!(gap(&told, 350), Duration::from_millis(80));
}

#[test]
fn a_large_fleet_does_not_press_the_store_where_nobody_tells() {
    let told = Told::default();
    let gap = |holds, size| told.gap(holds, Fleet { size, ..FLEET }, ms(0));
    assert_eq!(gap(false, 40), Duration::from_millis(400));
    // It still hears in time of engines that leave.
    assert_eq!(gap(false, 300), Duration::from_millis(500));
    assert_eq!(gap(true, 300), Duration::from_millis(40));
}
