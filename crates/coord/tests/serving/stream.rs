//! Tests of splitting a stream into events.

use corianderyoke_coord::serving::stream::EventBuffer;
use corianderyoke_coord::serving::stream::Fault;
use corianderyoke_coord::serving::stream::MAX_EVENT_BYTES;
use proptest::prelude::*;

fn events(count: u64) -> Vec<u8> {
    let events = (1..=count).map(|id| format!("id: {id}\ndata: piece {id}\n\n"));
    events.collect::<String>().into_bytes()
}

#[test]
fn partial_event_is_held_back() {
    let mut buffer = EventBuffer::after(Some(4));
    assert_eq!(buffer.push(b"id: 5\nda"), None);
    assert_eq!((buffer.last(), buffer.is_partial()), (Some(4), true));
    let whole = buffer.push(b"ta: x\n\nid: 6").expect("an event is whole");
    assert_eq!(whole.as_ref(), b"id: 5\ndata: x\n\n");
    assert_eq!((buffer.last(), buffer.is_partial()), (Some(5), true));
}

#[test]
fn line_before_id_belongs_to_same_event() {
    let mut buffer = EventBuffer::default();
    buffer.push(b"weight-version: 3\nid: 9\ndata: x\n\n");
    assert_eq!(buffer.last(), Some(9));
}

/// Returns what a buffer returns of this text, and why not all.
fn push(buffer: &mut EventBuffer, text: &str) -> (String, Option<Fault>) {
    let returned = buffer.push(text.as_bytes()).unwrap_or_default();
    (String::from_utf8(returned.to_vec()).expect("a text"), buffer.fault())
}

fn numbered(ids: &[u64]) -> String {
    ids.iter().map(|id| format!("id: {id}\ndata: x\n\n")).collect()
}

/// Guards against a response that repeats or skips events and is taken for the rest of a stream.
#[test]
fn rest_of_a_stream_begins_with_the_next_event() {
    let cases: [(&[u64], &[u64]); 6] = [
        (&[3, 4], &[3, 4]),
        (&[1, 2], &[]),
        (&[2, 3], &[]),
        (&[4], &[]),
        (&[3, 5], &[3]),
        (&[3, 3], &[3]),
    ];
    for (sent, kept) in cases {
        let mut buffer = EventBuffer::default();
        push(&mut buffer, &numbered(&[1, 2]));
        buffer.resume();
        let fault = (sent != kept).then_some(Fault::OutOfOrder);
        assert_eq!(push(&mut buffer, &numbered(sent)), (numbered(kept), fault));
        assert_eq!(buffer.last(), Some(kept.last().copied().unwrap_or(2)));
        assert_eq!(buffer.lacks_rest(), kept.is_empty());
    }
}

/// Guards against streams whose ids rise by more than one and that are never resumed.
#[test]
fn stream_that_skips_ids_may_skip_them_when_it_is_resumed() {
    let mut buffer = EventBuffer::after(Some(7));
    assert_eq!(push(&mut buffer, &numbered(&[10, 13])), (numbered(&[10, 13]), None));
    buffer.resume();
    assert_eq!(push(&mut buffer, &numbered(&[16, 16])), (numbered(&[16]), Some(Fault::OutOfOrder)));
}

#[test]
fn ids_that_do_not_rise_are_a_fault_of_any_response() {
    let mut buffer = EventBuffer::after(Some(7));
    assert_eq!(push(&mut buffer, &numbered(&[7])), (String::new(), Some(Fault::OutOfOrder)));
    // Nothing is returned after a fault.
    assert_eq!(push(&mut buffer, &numbered(&[8])), (String::new(), Some(Fault::OutOfOrder)));
}

#[test]
fn lines_that_are_no_fields_are_a_fault() {
    let heads = ["HTTP/1.1 500 Internal Server Error\r\na: b\r\n\r\n", "{\"error\": 1}", "not now"];
    for text in heads {
        let mut buffer = EventBuffer::default();
        let sent = format!("{}{text}\n\n{}", numbered(&[1]), numbered(&[2]));
        assert_eq!(push(&mut buffer, &sent), (numbered(&[1]), Some(Fault::NotAnEvent)), "{text}");
    }
}

#[test]
fn comments_and_fields_without_data_need_no_id() {
    let mut buffer = EventBuffer::default();
    push(&mut buffer, &numbered(&[1]));
    buffer.resume();
    let text = format!(": idle\n\nretry: 10\n\n\n{}", numbered(&[2]));
    assert_eq!(push(&mut buffer, &text), (text.clone(), None));
    buffer.resume();
    assert_eq!(push(&mut buffer, ": idle\n\n").1, None);
    assert!(buffer.lacks_rest());
    assert_eq!(push(&mut buffer, "data: x\n\n"), (String::new(), Some(Fault::OutOfOrder)));
}

/// Guards against a response without blank lines that fills the memory.
#[test]
fn incomplete_event_is_bounded() {
    let mut buffer = EventBuffer::default();
    let text = "a".repeat(MAX_EVENT_BYTES);
    assert_eq!(push(&mut buffer, &text), (String::new(), None));
    assert_eq!(push(&mut buffer, "a"), (String::new(), Some(Fault::TooLarge)));
    assert!(!buffer.is_partial());
}

proptest! {
    #[test]
    fn faults_are_found_for_any_split(
        cut in 0_usize..60,
        next in 0_u64..6,
    ) {
        let mut buffer = EventBuffer::after(Some(2));
        buffer.resume();
        let stream = numbered(&[3, next]);
        let (first, second) = stream.split_at(cut.min(stream.len()));
        let (first, second) = (push(&mut buffer, first).0, push(&mut buffer, second).0);
        let is_next = next == 4;
        prop_assert_eq!(first + &second, if is_next { stream } else { numbered(&[3]) });
        prop_assert_eq!(buffer.fault().is_none(), is_next);
    }

    #[test]
    fn every_event_is_returned_once_for_any_split(
        cuts in prop::collection::vec(0_usize..600, 0..40),
        count in 1_u64..30,
    ) {
        let stream = events(count);
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(stream.len())).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let mut buffer = EventBuffer::default();
        let mut returned = Vec::new();
        for pair in cuts.windows(2) {
            if let Some(whole) = buffer.push(&stream[pair[0]..pair[1]]) {
                prop_assert!(whole.ends_with(b"\n\n"));
                returned.extend_from_slice(&whole);
                // The returned bytes end with the event after which a resumed stream continues.
                let last = buffer.last().expect("an id came");
                prop_assert_eq!(&returned, &events(last));
            }
        }
        prop_assert_eq!(returned, stream);
        prop_assert!(!buffer.is_partial());
    }
}
