//! The decoder of event streams.

use corianderyoke_upstream::sse::Decoder;
use corianderyoke_upstream::sse::Error;

const STREAM: &str =
    "data: one\n\n: comment\r\nevent: x\r\ndata:two\r\rdata\ndata: é\n\n\n\nid: 3\n\ndata: lost\n";

#[test]
fn split_anywhere() {
    let expected = ["one", "two", "\né"];
    for size in 1..=STREAM.len() {
        let mut decoder = Decoder::new(64);
        let mut events = Vec::new();
        for piece in STREAM.as_bytes().chunks(size) {
            decoder.push(piece, &mut events).expect("well formed");
        }
        assert_eq!(events, expected, "pieces of {size} bytes");
    }
}

#[test]
fn bounds_lines_and_events() {
    let mut events = Vec::new();
    let long = Decoder::new(16).push(&[b'x'; 17], &mut events);
    assert_eq!(long, Err(Error::TooLong { limit: 16 }));
    let many = "data: 12345\n".repeat(4);
    let many = Decoder::new(16).push(many.as_bytes(), &mut events);
    assert_eq!(many, Err(Error::TooLong { limit: 16 }));
    let encoding = Decoder::new(16).push(b"data: \xff\n\n", &mut events);
    assert_eq!(encoding, Err(Error::Encoding));
    assert!(events.is_empty());
}
