//! Wall-clock times for display; no decision depends on them.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

const DAY_SECONDS: u64 = 86_400;
/// Days in 400 years, after which the Gregorian calendar repeats.
const ERA_DAYS: u64 = 146_097;
/// Days from 0000-03-01 to 1970-01-01.
const EPOCH_DAYS: u64 = 719_468;

/// Seconds since 1970-01-01T00:00:00Z by this instance's wall clock.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
}

/// Formats seconds since 1970 as `YYYY-MM-DDThh:mm:ssZ`.
pub fn format(seconds: u64) -> String {
    let (year, month, day) = date(seconds / DAY_SECONDS);
    let second = seconds % DAY_SECONDS;
    let (hour, minute, second) = (second / 3600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Year, month and day of a day number since 1970-01-01.
///
/// Internally, years start in March, so that a leap day is the last day of its year.
fn date(day: u64) -> (u64, u64, u64) {
    let shifted = day + EPOCH_DAYS;
    let era = shifted / ERA_DAYS;
    let day_of_era = shifted % ERA_DAYS;
    let leap_days = day_of_era / 1460 + day_of_era / 146_096 - day_of_era / 36_524;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 { march_month + 3 } else { march_month - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
