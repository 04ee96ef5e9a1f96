//! Property tests of reading, writing, comparing and checking arbitrary configurations.

use corianderyoke_coord::register::check;
use corianderyoke_coord::register::diff;
use corianderyoke_coord::register::document;
use corianderyoke_coord::register::document::Document;
use corianderyoke_coord::register::Address;
use corianderyoke_coord::register::ApiKey;
use corianderyoke_coord::register::Change;
use corianderyoke_coord::register::Entries;
use corianderyoke_coord::register::Entry;
use corianderyoke_coord::register::Grant;
use corianderyoke_coord::register::Kind;
use corianderyoke_coord::register::Model;
use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Revision;
use corianderyoke_coord::register::Rules;
use corianderyoke_coord::register::Team;
use corianderyoke_coord::register::Upstream;
use corianderyoke_coord::register::Zone;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

fn name() -> impl Strategy<Value = String> {
    "[a-c](\\.[a-c])?"
}

fn entry() -> impl Strategy<Value = (Address, Entry)> {
    let body = prop_oneof![
        any::<bool>().prop_map(|drained| (Kind::Zone, Entry::Zone(Zone { drained }))),
        (name(), any::<u32>()).prop_map(|(zone, bytes)| {
            let upstream = Upstream { zone, memory_bytes: u64::from(bytes), ..Upstream::default() };
            (Kind::Upstream, Entry::Upstream(upstream))
        }),
        (any::<u32>(), 0.0..9.0).prop_map(|(bytes, min_bytes)| {
            let model = Model {
                bytes: u64::from(bytes),
                bytes_per_token: Some(min_bytes),
                ..Model::default()
            };
            (Kind::Model, Entry::Model(model))
        }),
        (0.0..1e6, any::<u32>()).prop_map(|(rate, burst)| {
            let team = Team { rate, burst: u64::from(burst), ..Team::default() };
            (Kind::Team, Entry::Team(team))
        }),
        (name(), any::<[u8; 2]>(), any::<bool>()).prop_map(|(team, byte, revoked)| {
            let digest = format!("{:02x}{:02x}", byte[0], byte[1]).repeat(16);
            (Kind::Key, Entry::Key(ApiKey { team, digest, revoked }))
        }),
        vec(name(), 0..3).prop_map(|names| {
            let models = names.into_iter().collect();
            (Kind::Grant, Entry::Grant(Grant { models, ..Grant::default() }))
        }),
        (1..9_u64).prop_map(|outage_s| {
            (Kind::Rules, Entry::Rules(Rules { outage_s, ..Rules::default() }))
        }),
    ];
    (name(), body).prop_map(|(name, (kind, entry))| {
        let name = if kind == Kind::Rules { "fleet".to_owned() } else { name };
        (Address::new(kind, name), entry)
    })
}

fn entries() -> impl Strategy<Value = Entries> {
    vec(entry(), 0..20).prop_map(|entries| entries.into_iter().collect())
}

fn is_unrevoked(entries: &Entries, address: &Address) -> bool {
    matches!(entries.get(address), Some(Entry::Key(key)) if !key.revoked)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn applying_serialized_changes_yields_the_new_set(old in entries(), new in entries()) {
        let mut patched = old.clone();
        for change in diff(&old, &new) {
            let text = serde_json::to_string(&change).unwrap();
            let read: Change = serde_json::from_str(&text).unwrap();
            read.apply(&mut patched).unwrap();
        }
        prop_assert_eq!(diff(&patched, &new), []);
        let compiled = Register::compile(Revision(1), &patched);
        prop_assert_eq!(compiled, Register::compile(Revision(1), &new));
    }

    #[test]
    fn a_written_document_reads_back_unchanged(entries in entries()) {
        let mut document = Document::default();
        prop_assert_eq!(document.read("register.toml", &document::write(&entries)), []);
        prop_assert_eq!(diff(&entries, &document.entries), []);
    }

    #[test]
    fn no_document_reinstates_a_key_or_zone(current in entries(), file in entries()) {
        let mut document = Document::default();
        document.read("register.toml", &document::write(&file));
        let after = document.apply_to(&current);
        for (address, entry) in &current {
            match entry {
                Entry::Key(key) if key.revoked => prop_assert!(!is_unrevoked(&after, address)),
                Entry::Key(_) => prop_assert!(after.contains_key(address)),
                Entry::Zone(Zone { drained: true }) => {
                    let zone = after.get(address);
                    let stays = matches!(zone, None | Some(Entry::Zone(Zone { drained: true })));
                    prop_assert!(stays);
                }
                _ => {}
            }
        }
        prop_assert_eq!(document.apply_to(&after), after);
    }

    #[test]
    fn checks_never_panic_and_are_deterministic(entries in entries()) {
        prop_assert_eq!(check(&entries), check(&entries));
    }

    #[test]
    fn any_text_is_read_or_reported_with_its_file(text in prop_oneof![
        "[ -~\n]{0,80}",
        Just("[teams]\na = 1\n[teams.a]\nrate = 1".to_owned()),
        "\\[(teams|zones|keys)\\.a\\]\n(rate|team|drained) = [0-9\"a-z]{0,4}",
    ]) {
        let mut document = Document::default();
        let problems = document.read("any.toml", &text);
        prop_assert!(problems.iter().all(|problem| problem.file.as_deref() == Some("any.toml")));
    }
}
