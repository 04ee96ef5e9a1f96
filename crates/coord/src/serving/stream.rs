//! Splits a stream into whole events, so that a caller never gets a part of one.

use bytes::Bytes;
use bytes::BytesMut;

/// End of an event.
const BLANK_LINE: &[u8] = b"\n\n";
/// Line that carries an event's id.
const ID: &[u8] = b"id:";

/// Bytes of a stream that aren't passed on yet, and the id of the last event that was.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    last: Option<u64>,
}

impl EventBuffer {
    /// A buffer for a stream that goes on after `last`.
    pub fn after(last: Option<u64>) -> Self {
        EventBuffer { bytes: BytesMut::new(), last }
    }

    /// Takes bytes in and gives all whole events out.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.bytes.len().saturating_sub(BLANK_LINE.len() - 1);
        self.bytes.extend_from_slice(bytes);
        let end = self.bytes[searched..].windows(BLANK_LINE.len()).rposition(is_blank_line)?;
        let whole = self.bytes.split_to(searched + end + BLANK_LINE.len()).freeze();
        if let Some(last) = last_id(&whole) {
            self.last = Some(last);
        }
        Some(whole)
    }

    /// Id of the last event given out.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether a part of an event is left.
    pub fn is_partial(&self) -> bool {
        !self.bytes.is_empty()
    }
}

fn is_blank_line(window: &[u8]) -> bool {
    window == BLANK_LINE
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let value = lines.filter_map(|line| line.strip_prefix(ID)).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
