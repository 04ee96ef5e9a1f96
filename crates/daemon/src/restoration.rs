//! Reacts to a store that came back from an older copy, which lacks the latest writes.

use corianderyoke_coord::serving::position::Position;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;

use crate::state::Shared;

/// Records the era of a read of the store. In a new one, what the store lacks has time to be written
/// again before it counts as gone, and this daemon looks after what it has to write itself.
pub fn record_era(shared: &Shared, era: u64) {
    let mut state = shared.state();
    if state.era.is_some_and(|known| era <= known) {
        return;
    }
    let Some(before) = state.era.replace(era) else { return };
    let now = clock::now();
    state.lease.record_era(era, now);
    state.engines.begin_recovery(now);
    // Whoever hasn't read the operator's rows in this era is behind, also if its feed hangs.
    let begin = Position { era, version: 0 };
    state.operator.known = state.operator.known.max(begin);
    state.holder_updates.mark_missed();
    drop(state);
    shared.operator_behind.notify_one();
    events::log(Event::PlatformRestored, format_args!("era={era} before={before}"));
    shared.recheck_poll.notify_one();
    shared.restored.notify_one();
}
