//! Encodes the beginnings of streams for reports.

use corianderyoke_coord::serving::origins::Beginning;
use corianderyoke_coord::serving::origins::Release;
use corianderyoke_coord::serving::origins::StreamKey;
use corianderyoke_coord::time::Tick;
use corianderyoke_wire::word;

use crate::peers::age_ms;
use crate::peers::report_interval;
use crate::peers::time_of;
use crate::state::State;

/// Number of report intervals for which a stream is reported, so that the loss of a report does no
/// harm.
const REPORT_INTERVALS: u32 = 4;
/// Most streams in a report, so that it stays far below the size of a datagram.
const MAX_STREAMS: usize = 1_024;

/// Returns the streams that began here recently, in services with several releases.
pub fn compose(state: &State, now: Tick) -> Vec<word::StreamBeginning> {
    let span = report_interval(state) * REPORT_INTERVALS;
    let reported = state.origins.reported(span, MAX_STREAMS, now).into_iter();
    let encoded = reported.map(|Beginning { stream, release, at }| word::StreamBeginning {
        stream: stream.0,
        release: release.0,
        age: age_ms(at, now),
    });
    encoded.collect()
}

/// Records the streams that began at another daemon.
pub fn handle(state: &mut State, streams: &[word::StreamBeginning], now: Tick) {
    for &word::StreamBeginning { stream, release, age } in streams {
        let (stream, release, at) = (StreamKey(stream), Release(release), time_of(age, now));
        state.origins.record_reported(Beginning { stream, release, at });
    }
}

/// Returns the releases that the store lists, of services that have several.
pub fn listed(state: &State) -> Vec<word::ListedRelease> {
    let listed = state.origins.mixed().into_iter();
    listed.map(|(service, software)| word::ListedRelease { service, software }).collect()
}

/// Records the releases that the holder announces. Otherwise a daemon in a large fleet would learn only
/// at its next poll of the entries that its streams are to be reported.
pub fn handle_listed(state: &mut State, releases: &[word::ListedRelease], now: Tick) {
    for word::ListedRelease { service, software } in releases {
        state.origins.record_listed(service, software, now);
    }
}
