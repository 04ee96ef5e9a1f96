//! Splits a byte stream into complete events, so that callers never receive partial ones.

use bytes::Bytes;
use bytes::BytesMut;

/// Terminator of an event.
const BLANK_LINE: &[u8] = b"\n\n";
/// Prefix of the line that carries an event's id.
const ID: &[u8] = b"id:";

/// Buffers the incomplete end of a stream and tracks the id of the latest complete event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    last: Option<u64>,
}

impl EventBuffer {
    /// Creates a buffer for a stream that resumes after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        EventBuffer { bytes: BytesMut::new(), last }
    }

    /// Appends bytes and returns all events that are complete.
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

    /// Returns the id of the latest complete event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the buffer holds an incomplete event.
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
