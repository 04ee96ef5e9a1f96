//! Wall-clock times for people. Nothing is decided by them.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

const DAY_SECONDS: u64 = 86_400;
/// Days of 400 years, after which the calendar repeats.
const ERA_DAYS: u64 = 146_097;
/// Days from 0000-03-01 to 1970-01-01.
const EPOCH_DAYS: u64 = 719_468;

/// Seconds since 1970 by this instance's clock.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
}

/// Seconds since 1970 as `YYYY-MM-DDThh:mm:ssZ`.
pub fn format(seconds: u64) -> String {
    let (year, month, day) = date(seconds / DAY_SECONDS);
    let second = seconds % DAY_SECONDS;
    let (hour, minute, second) = (second / 3600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Year, month and day of a day since 1970, counting years from March so that leap days end them.
fn date(day: u64) -> (u64, u64, u64) {
    let shifted = day + EPOCH_DAYS;
    let era = shifted / ERA_DAYS;
    let of_era = shifted % ERA_DAYS;
    let leap = of_era / 1460 + of_era / 146_096 - of_era / 36_524;
    let year_of_era = (of_era - leap) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let from_march = (5 * of_year + 2) / 153;
    let day = of_year - (153 * from_march + 2) / 5 + 1;
    let month = if from_march < 10 { from_march + 3 } else { from_march - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
