//! The committed messages are what the schemas in `proto/` generate.

use std::fs;
use std::path::Path;

/// Set to write the generated file instead of comparing it.
const UPDATE: &str = "CORIANDERYOKE_UPDATE_GENERATED";

#[test]
fn committed_peer_messages_match_the_schema() {
    assert_generated("peer");
}

#[test]
fn committed_word_messages_match_the_schema() {
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
    let fresh =
        fs::read_to_string(out.join(format!("{package}.rs"))).expect("a file was generated");
    let committed = root.join(format!("src/generated/{package}.rs"));
    if std::env::var_os(UPDATE).is_some() {
        fs::write(&committed, &fresh).expect("the committed file can be written");
    }
    let kept = fs::read_to_string(&committed).unwrap_or_default();
    assert!(kept == fresh, "run this test with {UPDATE}=1 and commit the result");
}
