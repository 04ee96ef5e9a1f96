//! Tests of the check of a daemon's settings.

use corianderyoke_daemon::settings::Bounds;
use corianderyoke_daemon::settings::Settings;

fn problems(settings: &Settings) -> Vec<String> {
    settings.check().into_iter().map(|problem| problem.key).collect()
}

fn with(bounds: Bounds) -> Settings {
    Settings { bounds, ..Settings::default() }
}

/// Guards against settings with which a daemon starts, and then ends each request to its directory or
/// grants what no limit allows.
#[test]
fn numbers_out_of_range_are_reported() {
    assert_eq!(problems(&Settings::default()), [""; 0]);
    for value in [f64::NAN, f64::INFINITY, -1.0, -1e300] {
        let settings = with(Bounds {
            retry_ratio: value,
            retry_extra: value,
            cap_overage: value,
            cap_slack: value,
            cold_factor: value,
            cold_extra: value,
            max_cache_s: value,
            ..Bounds::default()
        });
        let expected = [
            "bounds.retry_ratio",
            "bounds.retry_extra",
            "bounds.cap_overage",
            "bounds.cap_slack",
            "bounds.cold_factor",
            "bounds.cold_extra",
            "bounds.keep_s",
        ];
        assert_eq!(problems(&settings), expected, "{value}");
    }
    for value in [0.0, 1e-300, 1e19, 1e300] {
        let settings = with(Bounds { max_cache_s: value, ..Bounds::default() });
        assert_eq!(problems(&settings), ["bounds.keep_s"], "{value}");
    }
    let bounds = Bounds { handover_ms: u64::MAX, drain_ms: u64::MAX, ..Bounds::default() };
    let settings = Settings { stop_ms: u64::MAX, ..with(bounds) };
    assert_eq!(problems(&settings), ["stop_ms", "bounds.handover_ms", "bounds.drain_ms"]);
}
