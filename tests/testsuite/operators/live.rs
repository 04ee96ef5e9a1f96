//! Test of the operators' commands on a fleet of the real binaries.

use corianderyoke_support::Builder;
use corianderyoke_support::Fleet;
use serde_json::json;
use serde_json::Value;

/// Runs a command, which must succeed, and returns its JSON output.
fn run_command(fleet: &Fleet, args: &[&str]) -> Value {
    let output = fleet.operate(&[&["--json"], args].concat()).unwrap();
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Returns the names of the members that don't have the newest revision.
fn lagging(status: &Value) -> Vec<&str> {
    let newest = &status["revision"];
    let members = status["members"].as_array().unwrap().iter();
    let lagging = members.filter(|member| member["revision"] != *newest);
    lagging.map(|member| member["name"].as_str().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_inspect_and_change_a_running_fleet() {
    let builder = Builder::beside(env!("CARGO_BIN_EXE_corianderyoke-router"));
    let fleet = builder.start().await.expect("the fleet starts");

    let status = run_command(&fleet, &["status", "--wait"]);
    assert_eq!(status["members"].as_array().unwrap().len(), 5);
    let drained = run_command(&fleet, &["drain", "z4", "--wait"]);
    assert_eq!(drained["lagging"], json!([]));

    let url = fleet.url(1, "/v1/chat/completions").unwrap();
    let chat = json!({ "model": "m1", "messages": [{ "role": "user", "content": "hello" }] });
    let request = fleet.client.post(url).bearer_auth(fleet.secret("t1"));
    let response = request.body(chat.to_string()).send().await.unwrap();
    assert_eq!(response.status(), 200, "{}", response.text().await.unwrap());

    let explained = run_command(&fleet, &["explain", "t1", "m1"]);
    assert_eq!(explained["decision"], "admitted", "{explained}");
    assert_eq!(explained["revision"], drained["revision"]);
    let audit = run_command(&fleet, &["audit", "--decisions"]);
    assert!(audit["decisions"].to_string().contains("m1"), "{audit}");
    assert_eq!(audit["records"].as_array().unwrap().last().unwrap()["action"], "drain z4");

    fleet.pause("router-3").unwrap();
    let restored = run_command(&fleet, &["restore", "z4"]);
    let status = run_command(&fleet, &["status"]);
    assert!(lagging(&status).contains(&"router-3"), "{status}");
    fleet.resume("router-3").unwrap();
    let status = run_command(&fleet, &["status", "--wait"]);
    assert_eq!(status["lagging"], json!([]));
    assert_eq!(status["revision"], restored["revision"]);
}
