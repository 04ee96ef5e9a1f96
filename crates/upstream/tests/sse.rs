//! Decoding of event streams.

use corianderyoke_upstream::sse::Decoder;
use corianderyoke_upstream::sse::Error;

const STREAM: &str =
    "data: one\n\n: comment\r\nevent: x\r\ndata:two\r\rdata\ndata: é\n\n\n\nid: 3\n\ndata: lost\n";

#[test]
fn input_split_at_any_position() {
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
fn long_lines_and_events_are_rejected() {
    let mut events = Vec::new();
    let long_line = Decoder::new(16).push(&[b'x'; 17], &mut events);
    assert_eq!(long_line, Err(Error::TooLong { limit: 16 }));
    let long_event = "data: 12345\n".repeat(4);
    let long_event = Decoder::new(16).push(long_event.as_bytes(), &mut events);
    assert_eq!(long_event, Err(Error::TooLong { limit: 16 }));
    let encoding = Decoder::new(16).push(b"data: \xff\n\n", &mut events);
    assert_eq!(encoding, Err(Error::Encoding));
    assert!(events.is_empty());
}
