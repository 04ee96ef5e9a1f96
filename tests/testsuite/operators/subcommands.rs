//! Snapshot tests of every subcommand.

use corianderyoke::ops::config::ConfigReader;
use corianderyoke_platform::Platform;
use serde_json::json;
use serde_json::Value;

use super::serve_member;
use super::Fixture;
use super::REGISTER;
use super::RULES;

#[tokio::test(flavor = "multi_thread")]
async fn help_and_version() {
    let fixture = Fixture::empty().await;
    insta::assert_snapshot!("help", fixture.show(&["--help"]).await);
    insta::assert_snapshot!("version", fixture.show(&["--version"]).await);
    insta::assert_snapshot!("usage", fixture.show(&["aply"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_settings_errors_are_reported_at_once() {
    let fixture = Fixture::empty().await;
    insta::assert_snapshot!("settings_good", fixture.show(&["--check"]).await);
    let text = "platfrom = \"1\"\nplatform = \"here\"\ntimeout_ms = 0\nwait_s = \"long\"\n";
    fixture.write("corianderyoke.toml", text);
    insta::assert_snapshot!("settings_bad", fixture.show(&["--check"]).await);
    insta::assert_snapshot!("settings_bad_json", fixture.show(&["--check", "--json"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn check() {
    let fixture = Fixture::empty().await;
    insta::assert_snapshot!("check", fixture.show(&["check", "register.toml", "rules.toml"]).await);
    fixture.write("rules.toml", "[grants.depot]\nmodels = [\"sumary\"]\n[rule]\n");
    insta::assert_snapshot!(
        "check_bad_file",
        fixture.show(&["check", "register.toml", "rules.toml"]).await
    );
    fixture.write("rules.toml", "[grants.depot]\nmodels = [\"sumary\"]\n");
    insta::assert_snapshot!(
        "check_bad_set",
        fixture.show(&["check", "register.toml", "rules.toml"]).await
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn diff() {
    let fixture = Fixture::configured().await;
    fixture.write("register.toml", &REGISTER.replace("rate = 1000", "rate = 900"));
    fixture.write("rules.toml", "[grants]\n");
    insta::assert_snapshot!("diff", fixture.show(&["diff", "register.toml", "rules.toml"]).await);
    insta::assert_snapshot!("diff_json", fixture.show(&["diff", "register.toml", "--json"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply() {
    let fixture = Fixture::empty().await;
    let both = ["apply", "register.toml", "rules.toml"];
    insta::assert_snapshot!("apply_first", fixture.show(&both).await);
    insta::assert_snapshot!("apply_again", fixture.show(&both).await);
    fixture.write("rules.toml", &RULES.replace("10_000", "20_000"));
    let based = ["apply", "rules.toml", "--base", "1", "--json"];
    insta::assert_snapshot!("apply_rules_only", fixture.show(&based).await);
    insta::assert_snapshot!("apply_old_base", fixture.show(&based[..4]).await);
    let ahead = ["apply", "rules.toml", "--base", "7"];
    insta::assert_snapshot!("apply_base_ahead", fixture.show(&ahead).await);
    fixture.write("rules.toml", "[grants.depots]\nmodels = [\"other\"]\n");
    insta::assert_snapshot!("apply_bad", fixture.show(&["apply", "rules.toml"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn get() {
    let fixture = Fixture::configured().await;
    insta::assert_snapshot!("get", fixture.show(&["get"]).await);
    insta::assert_snapshot!("get_one", fixture.show(&["get", "team/depots", "--json"]).await);
    insta::assert_snapshot!("get_missing", fixture.show(&["get", "team/clerks"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn status_names_lagging_members() {
    let fixture = Fixture::configured().await;
    let current = serve_member("router-1", 1).await;
    let lagging = serve_member("router-2", 0).await;
    fixture.add_router("router-1", &current.address.to_string()).await;
    insta::assert_snapshot!("status", fixture.show(&["status", "--wait"]).await);
    fixture.add_router("router-2", &lagging.address.to_string()).await;
    fixture.add_router("router-3", "127.0.0.1:1").await;
    // Another member responds at the address in the row of router-4.
    fixture.add_router("router-4", &current.address.to_string()).await;
    insta::assert_snapshot!("status_lagging", fixture.show(&["status", "--json"]).await);
    insta::assert_snapshot!("status_wait", fixture.show(&["status", "--wait"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_and_restore() {
    let fixture = Fixture::configured().await;
    insta::assert_snapshot!("drain", fixture.show(&["drain", "south"]).await);
    // Applying a file that doesn't mention the drain doesn't restore the zone.
    insta::assert_snapshot!("drain_stays", fixture.show(&["apply", "register.toml"]).await);
    insta::assert_snapshot!("restore", fixture.show(&["restore", "south", "--wait"]).await);
    insta::assert_snapshot!("drain_missing", fixture.show(&["drain", "west"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_stays_revoked() {
    let fixture = Fixture::configured().await;
    insta::assert_snapshot!("revoke", fixture.show(&["revoke", "depots-1"]).await);
    insta::assert_snapshot!("revoke_stays", fixture.show(&["apply", "register.toml"]).await);
    insta::assert_snapshot!("revoke_missing", fixture.show(&["revoke", "depots-2"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_key_works_and_its_secret_is_not_stored() {
    let fixture = Fixture::configured().await;
    let output = fixture.run(&["issue-key", "depots", "--json"]).await;
    let issued: Value = serde_json::from_slice(&output.stdout).unwrap();
    let secret = issued["secret"].as_str().unwrap();
    let mut reader = ConfigReader::new();
    let register = reader.poll(&fixture.platform()).await.unwrap().unwrap();
    assert_eq!(register.authenticate(secret).unwrap().team, "depots");
    for table in ["config", "audit"] {
        let rows = fixture.platform().scan(table, "", "").await.unwrap();
        assert!(rows.iter().all(|row| !row.value.contains(secret)));
    }
    let named = ["issue-key", "depots", "--name", "depots-2"];
    insta::assert_snapshot!("issue_key", fixture.show(&named).await);
    insta::assert_snapshot!("issue_key_twice", fixture.show(&named).await);
    let bad = ["issue-key", "depots", "--name", "no name"];
    insta::assert_snapshot!("issue_key_bad_name", fixture.show(&bad).await);
    insta::assert_snapshot!("issue_key_missing", fixture.show(&["issue-key", "depot"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn audit() {
    let fixture = Fixture::configured().await;
    fixture.run(&["drain", "south", "--operator", "ayşe"]).await;
    fixture.run(&["revoke", "depots-1"]).await;
    let decision = json!({ "controller": "controller-1", "decision": "load summary" });
    fixture.put("decisions", "00000000000000000007", decision).await;
    let range = ["audit", "--from", "2", "--decisions"];
    insta::assert_snapshot!("audit", fixture.show(&range).await);
    let one = ["audit", "--from", "2", "--to", "2", "--json"];
    insta::assert_snapshot!("audit_json", fixture.show(&one).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn explain() {
    let fixture = Fixture::configured().await;
    let args = ["explain", "depots", "summary"];
    insta::assert_snapshot!("explain_nobody", fixture.show(&args).await);
    let router = serve_member("router-2", 1).await;
    fixture.add_router("router-1", "127.0.0.1:1").await;
    fixture.add_router("router-2", &router.address.to_string()).await;
    insta::assert_snapshot!("explain", fixture.show(&args).await);
}
