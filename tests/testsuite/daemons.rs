//! Tests of the command lines and settings of the daemons, the stand-ins and the bench.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use tempfile::TempDir;

const ROUTER: &str = env!("CARGO_BIN_EXE_corianderyoke-router");
const CONTROLLER: &str = env!("CARGO_BIN_EXE_corianderyoke-controller");
const STANDIN: &str = env!("CARGO_BIN_EXE_corianderyoke-standin");
const BENCH: &str = env!("CARGO_BIN_EXE_corianderyoke-bench");

fn run(binary: &str, folder: &Path, arguments: &[&str]) -> String {
    let output = Command::new(binary).args(arguments).current_dir(folder).output().unwrap();
    show(&output)
}

fn show(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    format!("exit {}\n{text}{errors}", output.status.code().unwrap_or(-1))
}

fn folder(settings: &str) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("settings.toml"), settings).unwrap();
    folder
}

#[test]
fn help_of_each_program() {
    let folder = folder("");
    for (name, binary) in
        [("router", ROUTER), ("controller", CONTROLLER), ("standin", STANDIN), ("bench", BENCH)]
    {
        insta::assert_snapshot!(format!("help_{name}"), run(binary, folder.path(), &["--help"]));
    }
}

#[test]
fn help_of_each_subcommand() {
    let folder = folder("");
    let subcommands = [
        (STANDIN, &["platform", "engine", "service"][..]),
        (BENCH, &["demo", "check", "run", "experiment"]),
    ];
    for (binary, names) in subcommands {
        for name in names {
            let help = run(binary, folder.path(), &[name, "--help"]);
            insta::assert_snapshot!(format!("help_of_{name}"), help);
        }
    }
}

#[test]
fn standins_check_their_settings() {
    let folder = folder("memory_byte = 3\nfencing = 1\nlisten = \"here\"\n");
    let arguments = ["engine", "--config", "settings.toml", "--check"];
    insta::assert_snapshot!("engine_bad", run(STANDIN, folder.path(), &arguments));
}

#[test]
fn binaries_report_the_package_version() {
    let folder = folder("");
    let version = env!("CARGO_PKG_VERSION");
    for binary in [ROUTER, CONTROLLER, STANDIN, BENCH] {
        assert!(run(binary, folder.path(), &["--version"]).contains(version));
    }
}

#[test]
fn all_settings_errors_are_reported_at_once() {
    let invalid =
        "nmae = \"r\"\nname = \"a b\"\nlog = \"loud\"\nattempts = 0\ncallers = \"here\"\n";
    let folder = folder(invalid);
    let arguments = ["--config", "settings.toml", "--check"];
    insta::assert_snapshot!("router_bad", run(ROUTER, folder.path(), &arguments));
    insta::assert_snapshot!("controller_bad", run(CONTROLLER, folder.path(), &arguments));
}

#[test]
fn valid_settings_pass_the_check() {
    let folder = folder("name = \"r-1\"\nzone = \"z1\"\nplatform = \"127.0.0.1:7400\"\n");
    let arguments = ["--config", "settings.toml", "--check"];
    for binary in [ROUTER, CONTROLLER] {
        assert_eq!(run(binary, folder.path(), &arguments), "exit 0\nthe settings are good\n");
    }
}

#[test]
fn missing_settings_file_is_reported() {
    let folder = folder("");
    let arguments = ["--config", "none.toml"];
    insta::assert_snapshot!("router_missing", run(ROUTER, folder.path(), &arguments));
}

#[tokio::test(flavor = "multi_thread")]
async fn every_step_of_the_demo_succeeds() {
    let table = corianderyoke::ops::bench::demo::run().await.expect("each step succeeds");
    assert!(table.ends_with("the order ran 1 time(s) at the service\n"), "{table}");
}
