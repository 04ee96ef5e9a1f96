//! Tests of which changes of engines the lease holder tells whom.

use std::time::Duration;

use corianderyoke_coord::keys::AdapterKey;
use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::announcements::Announcements;
use corianderyoke_coord::serving::announcements::ChangeKind;
use corianderyoke_coord::serving::announcements::Wants;
use corianderyoke_coord::serving::engines::Engines;

use crate::fixtures::entry;
use crate::fixtures::ms;

fn wants(models: &[u32], adapters: &[u32]) -> Wants {
    Wants {
        models: models.iter().map(|&model| ModelKey(model)).collect(),
        adapters: adapters.iter().map(|&adapter| AdapterKey(adapter)).collect(),
    }
}

fn numbers(announcements: &Announcements, after: u64, wants: &Wants) -> Vec<u64> {
    let changes = announcements.relevant(after, wants, &Engines::default());
    changes.iter().map(|change| change.number).collect()
}

/// Hundreds of daemons wait for adapters while the holder orders one after the other. The number of
/// changes told grows with the changes, not with their product with the daemons.
#[test]
fn many_waiting_daemons_are_each_told_of_their_own_change_only() {
    let mut announcements = Announcements::default();
    let daemons: Vec<Wants> = (0..195).map(|index| wants(&[], &[index])).collect();
    let mut told = vec![0; daemons.len()];
    let mut total = 0;
    for index in 0..195 {
        let change = ChangeKind::Adapter(ModelKey(0), AdapterKey(index), true);
        announcements.record(UpstreamKey(index % 156), change, ms(0));
        for (wants, told) in daemons.iter().zip(&mut told) {
            total += numbers(&announcements, *told, wants).len();
            *told = announcements.count();
        }
    }
    assert_eq!(total, 195);
}

#[test]
fn only_changes_that_let_a_request_proceed_are_told() {
    let mut announcements = Announcements::default();
    let changes = [
        ChangeKind::Leaving,
        ChangeKind::Model(ModelKey(1), false),
        ChangeKind::Model(ModelKey(1), true),
        ChangeKind::Model(ModelKey(2), true),
        ChangeKind::Adapter(ModelKey(2), AdapterKey(7), false),
        ChangeKind::Adapter(ModelKey(2), AdapterKey(7), true),
    ];
    for change in changes {
        announcements.record(UpstreamKey(0), change, ms(0));
    }
    assert_eq!(numbers(&announcements, 0, &wants(&[1], &[])), [3]);
    assert_eq!(numbers(&announcements, 0, &wants(&[], &[7])), [6]);
    assert_eq!(numbers(&announcements, 6, &wants(&[], &[7])), [0; 0]);
    assert_eq!(numbers(&announcements, 0, &wants(&[], &[])), [0; 0]);
}

#[test]
fn entry_that_lists_a_wanted_model_is_told() {
    let mut engines = Engines::default();
    engines.upsert(entry("i-1", &["m"], &[]), ms(0));
    let (key, _) = engines.iter().next().expect("one engine");
    let model = engines.names.models.key("m").expect("a known model");
    let mut announcements = Announcements::default();
    announcements.record(key, ChangeKind::Updated, ms(0));
    let count = |models: &[u32]| announcements.relevant(0, &wants(models, &[]), &engines).len();
    assert_eq!([count(&[model.0]), count(&[model.0 + 1])], [1, 0]);
}

#[test]
fn old_changes_are_dropped() {
    let mut announcements = Announcements::default();
    for at in [0, 500, 1_000] {
        announcements.record(UpstreamKey(0), ChangeKind::Leaving, ms(at));
    }
    announcements.prune(Duration::from_millis(800), ms(1_200));
    let numbers: Vec<u64> = announcements.recent().map(|change| change.number).collect();
    assert_eq!(numbers, [2, 3]);
    assert_eq!(announcements.count(), 3);
}
