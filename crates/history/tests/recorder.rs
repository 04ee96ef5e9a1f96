//! Records events to a file and reads them back.

use std::fs;

use corianderyoke_history::check;
use corianderyoke_history::check_file;
use corianderyoke_history::Bounds;
use corianderyoke_history::Error;
use corianderyoke_history::Event;
use corianderyoke_history::History;
use corianderyoke_history::Property;
use corianderyoke_history::Recorder;

#[test]
fn incomplete_last_line_is_skipped_and_gaps_are_rejected() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("r1.jsonl");
    let first = Recorder::file("r1", &path).expect("a file");
    let second = Recorder::file("r2", &path).expect("the same file");
    for recorder in [&first, &second, &first] {
        recorder.record(|| Event::RevisionInForce { revision: 7 });
    }
    let whole = fs::read_to_string(&path).expect("text");
    fs::write(&path, format!("{whole}{{\"process\":\"r1\",\"se")).expect("written");
    let report = check_file(directory.path()).expect("a report");
    assert_eq!(report.records, 3);
    assert!(report.is_clean());
    assert!(report.uncovered().any(|property| property == Property::Limits));
    let gap = whole.lines().skip(1).collect::<Vec<_>>().join("\n") + "\n";
    fs::write(&path, gap).expect("written");
    assert!(matches!(check_file(&path), Err(Error::Sequence { .. })));
    fs::write(&path, "nonsense\n").expect("written");
    assert!(matches!(check_file(&path), Err(Error::Parse { line: 1, .. })));
}

#[test]
fn memory_and_disabled_recorders() {
    let recorder = Recorder::memory("r1");
    let before = Recorder::now_us();
    recorder.record(|| Event::ShutdownBegin);
    recorder.clone().record(|| Event::ShutdownEnd);
    let records = recorder.records();
    assert!(before <= records[0].at && records[0].at <= records[1].at);
    let history = History::new(records, Bounds::default()).expect("whole");
    assert_eq!(check(&history).lines[&Property::Shutdown].facts, 1);
    let disabled = Recorder::off();
    disabled.record(|| panic!("not made"));
    assert!(!disabled.is_on() && disabled.records().is_empty());
}
