//! Checks that the committed messages match what the schemas in `proto/` generate.

use std::fs;
use std::path::Path;

/// Environment variable that makes the tests write the generated files before they compare them.
const UPDATE_VARIABLE: &str = "CORIANDERYOKE_UPDATE_GENERATED";

#[test]
fn committed_peer_messages_match_the_schema() {
    assert_generated("peer");
}

#[test]
fn committed_gossip_messages_match_the_schema() {
    assert_generated("word");
}

fn assert_generated(package: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let schema = format!("{package}.proto");
    let files = protox::compile([schema], [root.join("proto")]).expect("the schema parses");
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut config = prost_build::Config::new();
    config.out_dir(out);
    config.compile_fds(files).expect("the schema generates");
    let generated =
        fs::read_to_string(out.join(format!("{package}.rs"))).expect("a file was generated");
    let committed = root.join(format!("src/generated/{package}.rs"));
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(&committed, &generated).expect("the committed file can be written");
    }
    let found = fs::read_to_string(&committed).unwrap_or_default();
    assert!(found == generated, "run this test with {UPDATE_VARIABLE}=1 and commit the result");
}
