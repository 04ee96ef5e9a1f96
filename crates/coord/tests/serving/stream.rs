//! Tests of splitting a stream into events.

use corianderyoke_coord::serving::stream::EventBuffer;
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

proptest! {
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
