//! Tests of reading, validating, comparing and compiling configurations.

use corianderyoke_coord::register::check;
use corianderyoke_coord::register::diff;
use corianderyoke_coord::register::document;
use corianderyoke_coord::register::document::Document;
use corianderyoke_coord::register::strict;
use corianderyoke_coord::register::Address;
use corianderyoke_coord::register::Entries;
use corianderyoke_coord::register::Kind;
use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Resource;
use corianderyoke_coord::register::Revision;
use corianderyoke_coord::register::Rules;

const VALID: &str = r#"
[zones.north]
[zones.south]
drained = true

[upstreams.engine-1]
zone = "north"
address = "10.0.0.1:8000"
memory_bytes = 24_000_000_000
fencing = true

[upstreams.stock-1]
zone = "north"
address = "10.0.0.2:9000"
kind = "service"

[upstreams.stock-2]
zone = "south"
address = "10.0.1.2:9000"
kind = "service"

[models.summary]
bytes = 8_000_000_000
bytes_per_token = 2.0

[models.quick]
bytes = 2_000_000_000
tokenizer = "quick.json"

[adapters.tender]
model = "summary"
bytes = 100_000_000

[teams.depots]
rate = 1000
burst = 8192

[teams.clerks]
rate = 50.5
burst = 4096

[keys.depots-1]
team = "depots"
# secret: open sesame
digest = "41ef4bb0b23661e66301aac36066912dac037827b4ae63a7b1165a5aa93ed4eb"

[services.stock]
upstreams = ["stock-1", "stock-2"]

[grants.depots]
models = ["*"]
adapters = ["tender"]

[grants.clerks]
services = ["stock"]
models = ["quick"]

[rules]
deadline_ms = 10_000
"#;

fn read(text: &str) -> Document {
    let mut document = Document::default();
    assert_eq!(document.read("register.toml", text), []);
    document
}

fn compile(entries: &Entries) -> Register {
    Register::compile(Revision(7), entries)
}

fn lines(problems: &[impl ToString]) -> String {
    problems.iter().map(|problem| problem.to_string() + "\n").collect()
}

#[test]
fn a_valid_document_has_no_problems() {
    assert_eq!(read(VALID).check(), []);
}

#[test]
fn all_problems_of_a_file_are_reported_at_once() {
    let text = r#"
[zone.north]
[upstreams.engine-1]
adress = "10.0.0.1:8000"
kind = "engin"
memory_bytes = "24 GB"
checkpoints = { disk = 3 }
[models]
summary = 7
[rules]
deadline_ms = -1
outage_sec = 3
"#;
    let mut document = Document::default();
    insta::assert_snapshot!(lines(&document.read("register.toml", text)));
}

#[test]
fn invalid_toml_is_reported_with_its_line() {
    let mut document = Document::default();
    insta::assert_snapshot!(lines(&document.read("rules.toml", "[rules]\ndeadline_ms = = 3\n")));
}

#[test]
fn an_entry_in_two_files_is_reported() {
    let mut document = read(VALID);
    let problems = document.read("more.toml", "[teams.depots]\nrate = 3\n");
    insta::assert_snapshot!(lines(&problems));
}

#[test]
fn all_problems_of_a_set_are_reported_at_once() {
    let text = r#"
[zones.north]
[upstreams.engine-1]
zone = "nort"
address = "engine-1:8000"
memory_bytes = 1000
fresh_running = 0
[upstreams.engine-2]
zone = "north"
address = "10.0.0.1:8000"
memory_bytes = 500
[upstreams.engine-3]
zone = "north"
address = "10.0.0.1:8000"
[models.large]
bytes = 1001
output_tokens = 9000
[models.small]
bytes = 900
bytes_per_token = 0
start_ms = { memory = 5, disk = 3, remote = 8 }
[adapters.small]
model = "smal"
bytes = 1
[adapters.wide]
model = "small"
bytes = 101
[teams.depots]
rate = 0
burst = 10
weight = -1
[keys.k1]
team = "depot"
digest = "abc"
[services.stock]
upstreams = ["engine-2"]
[services.empty]
[grants.depots]
models = ["small", "smal"]
[grants.clerk]
[rules]
deadline_ms = 400_000
load_rate = 0
[teams."a b"]
rate = 1
burst = 1
"#;
    insta::assert_snapshot!(lines(&read(text).check()));
}

#[test]
fn numbers_out_of_range_are_reported() {
    let cases = [
        ("[models.m]\ncontext_tokens = 4_294_967_296", "context_tokens"),
        ("[models.m]\ncontext_tokens = 0", "context_tokens"),
        ("[models.m]\nbytes_per_token = nan", "bytes_per_token"),
        ("[models.m]\nbytes_per_token = -1.0", "bytes_per_token"),
        ("[teams.t]\nrate = -1.0", "rate"),
        ("[rules]\nidle_worth = -1.0", "idle_worth"),
        ("[rules]\nload_rate = 0.0", "load_rate"),
    ];
    for (text, field) in cases {
        let found = lines(&read(text).check());
        assert!(found.contains(&format!(".{field}:")), "{text}: {found}");
    }
    for field in [
        "[models.m]\nbytes = -1",
        "[models.m]\nbytes = 1e300",
        "[teams.t]\nrate = inf",
        "[rules]\ndeadline_ms = 1e300",
    ] {
        let mut document = Document::default();
        assert_ne!(document.read("register.toml", field), [], "{field}");
    }
}

#[test]
fn a_written_document_reads_back() {
    let entries = read(VALID).entries;
    let back = read(&document::write(&entries)).entries;
    assert_eq!(diff(&entries, &back), []);
}

#[test]
fn applying_a_diff_yields_the_new_set() {
    let old = read(VALID).entries;
    let text = VALID.replace("rate = 1000", "rate = 900").replace("[zones.south]", "[zones.west]");
    let new = read(&text).entries;
    let changes = diff(&old, &new);
    let addresses: Vec<&str> = changes.iter().map(|change| change.address.as_str()).collect();
    assert_eq!(addresses, ["zone/south", "zone/west", "team/depots"]);
    let mut entries = old;
    for change in &changes {
        change.apply(&mut entries).unwrap();
    }
    assert_eq!(diff(&entries, &new), []);
    assert_eq!(compile(&entries), compile(&new));
    assert_ne!(check(&entries), []);
}

#[test]
fn only_the_secret_of_an_unrevoked_key_authenticates() {
    let mut entries = read(VALID).entries;
    let live = compile(&entries);
    let caller = live.authenticate("open sesame").unwrap();
    assert_eq!((caller.key, caller.team, caller.limits.burst), ("depots-1", "depots", 8192));
    assert_eq!(live.authenticate("open sesam"), None);
    assert_eq!(live.authenticate(""), None);

    let text = VALID.replace("[keys.depots-1]", "[keys.depots-1]\nrevoked = true");
    let address = Address::new(Kind::Key, "depots-1");
    entries.insert(address.clone(), read(&text).entries[&address].clone());
    let revoked = compile(&entries);
    assert_eq!(revoked.authenticate("open sesame"), None);
    assert_eq!(revoked.caller("depots-1"), None);
}

#[test]
fn grants_limit_models_and_services() {
    let register = compile(&read(VALID).entries);
    assert!(register.may_use("depots", Resource::Model("quick")));
    assert!(register.may_use("depots", Resource::Adapter("tender")));
    assert!(!register.may_use("depots", Resource::Model("other")));
    assert!(!register.may_use("depots", Resource::Service("stock")));
    assert!(register.may_use("clerks", Resource::Service("stock")));
    assert!(!register.may_use("clerks", Resource::Model("summary")));
    assert!(!register.may_use("nobody", Resource::Model("quick")));
    let names: Vec<&str> = register.models_of("depots").collect();
    assert_eq!(names, ["quick", "summary", "tender"]);
    assert_eq!(register.target("tender").unwrap().model, "summary");
    let stock = &register.services["stock"];
    let live: Vec<&str> = register.upstreams_of(stock).map(|(name, _)| name).collect();
    assert_eq!(live, ["stock-1"]);
}

#[test]
fn prompt_tokens_have_an_upper_bound() {
    let register = compile(&read(VALID).entries);
    assert_eq!(register.models["summary"].prompt_bound(9), 5);
    assert_eq!(register.models["quick"].prompt_bound(9), 9);
}

#[test]
fn an_invalid_value_leaves_the_others_in_force() {
    let mut problems = Vec::new();
    let input = serde_json::json!({ "deadline_ms": "soon", "load_inflight": 3 });
    let rules: Rules = strict::read("rules", &input, &mut problems);
    assert_eq!(rules, Rules { load_inflight: 3, ..Rules::default() });
    assert_eq!(problems.len(), 1);
}
