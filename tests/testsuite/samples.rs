//! Tests that the sample configurations are valid and have the sizes of their deployments.

use std::path::PathBuf;

use corianderyoke::controller::settings::Settings as ControllerSettings;
use corianderyoke::router::settings::Settings as RouterSettings;
use corianderyoke::util::settings;
use corianderyoke_coord::register::document::Document;
use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Revision;
use corianderyoke_coord::register::UpstreamKind;

/// Number of entries of each kind in a deployment's register.
#[derive(Debug, Eq, PartialEq)]
struct Sizes {
    zones: usize,
    engines: usize,
    apps: usize,
    models: usize,
    adapters: usize,
    teams: usize,
}

fn dir(deployment: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("samples").join(deployment)
}

fn register(deployment: &str) -> Register {
    let dir = dir(deployment);
    let mut document = Document::default();
    for file in ["register.toml", "rules.toml"] {
        let text = std::fs::read_to_string(dir.join(file)).unwrap();
        assert_eq!(document.read(file, &text), []);
    }
    assert_eq!(document.check(), []);
    Register::compile(Revision(1), &document.entries)
}

fn sizes(register: &Register) -> Sizes {
    let count = |kind| register.upstreams.values().filter(|upstream| upstream.kind == kind).count();
    Sizes {
        zones: register.zones.len(),
        engines: count(UpstreamKind::Engine),
        apps: count(UpstreamKind::Service),
        models: register.models.len(),
        adapters: register.adapters.len(),
        teams: register.teams.len(),
    }
}

#[test]
fn kumlama() {
    let expected = Sizes { zones: 4, engines: 10, apps: 4, models: 30, adapters: 55, teams: 5 };
    let register = register("kumlama");
    assert_eq!(sizes(&register), expected);
    assert!(register.rules.load_rate < 2.0);
    assert!(!register.services["orders"].repeatable);
}

#[test]
fn speglagler() {
    let expected = Sizes { zones: 4, engines: 12, apps: 4, models: 25, adapters: 75, teams: 5 };
    let register = register("speglagler");
    assert_eq!(sizes(&register), expected);
    assert_eq!(register.rules.load_rate, 3.0);
    assert!(!register.services["reservations"].repeatable);
}

#[test]
fn every_team_has_a_model_and_one_team_has_all_models() {
    for deployment in ["kumlama", "speglagler"] {
        let register = register(deployment);
        for team in register.teams.keys() {
            assert!(register.models_of(team).next().is_some(), "{deployment}: {team}");
        }
        let total: usize = register.models.keys().chain(register.adapters.keys()).count();
        let largest = register.teams.keys().map(|team| register.models_of(team).count()).max();
        assert_eq!(largest, Some(total), "{deployment}");
    }
}

#[test]
fn settings_are_valid_and_name_a_zone_of_the_register() {
    for deployment in ["kumlama", "speglagler"] {
        let register = register(deployment);
        let file = dir(deployment).join("router.toml");
        let settings: RouterSettings = settings::load(&file).unwrap();
        assert!(register.zones.contains_key(&settings.zone), "{deployment}");
        let file = dir(deployment).join("controller.toml");
        let settings: ControllerSettings = settings::load(&file).unwrap();
        assert!(register.zones.contains_key(&settings.zone), "{deployment}");
    }
}
