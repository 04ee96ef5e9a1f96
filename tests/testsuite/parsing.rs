//! Tests of the parsing of request bodies and of lines of the socket table.

use corianderyoke::router::hangup;
use corianderyoke::router::request;
use corianderyoke::router::request::Kind;

fn error_message(kind: Kind, body: &str) -> String {
    request::parse(kind, body.as_bytes()).unwrap_err().message
}

#[test]
fn invalid_bodies_are_reported_by_field() {
    let bodies = [
        "{",
        "[]",
        r#"{"messages":[]}"#,
        r#"{"model":""}"#,
        r#"{"model":"m","messages":[]}"#,
        r#"{"model":"m","messages":[{"role":"user"}]}"#,
        r#"{"model":"m","messages":[{"role":"user","content":[{"type":"image"}]}]}"#,
        r#"{"model":"m","messages":[{"role":"user","content":"x"}],"stream":"yes"}"#,
        r#"{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":0}"#,
        r#"{"model":"m","messages":[{"role":"user","content":"x"}],"deadline_ms":-1}"#,
    ];
    let messages: Vec<String> = bodies.iter().map(|body| error_message(Kind::Chat, body)).collect();
    insta::assert_snapshot!(messages.join("\n"));
}

#[test]
fn only_listed_sampling_fields_are_forwarded() {
    let body = r#"{"model":"m","prompt":"p","seed":3,"api_key":"sk","user":"u"}"#;
    let parsed = request::parse(Kind::Text, body.as_bytes()).unwrap();
    assert_eq!(parsed.sampling.keys().collect::<Vec<_>>(), ["seed"]);
}

#[test]
fn socket_table_lines_are_parsed() {
    let line = "   1: 0100007F:1F90 0100007F:C350 01 00000000:00000000 00:00000000 00000000";
    assert_eq!(hangup::remote(line), "127.0.0.1:50000".parse().ok());
    let mapped = "   1: 0000000000000000FFFF00000100007F:1F90 \
                  0000000000000000FFFF00000100007F:C350 01 0:0";
    assert_eq!(hangup::remote(mapped), "127.0.0.1:50000".parse().ok());
    let closing = line.replace(" 01 ", " 08 ");
    assert_eq!(hangup::remote(&closing), None);
}
