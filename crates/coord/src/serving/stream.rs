//! Splits a byte stream into complete events, so that callers never receive partial ones, and checks
//! that they follow on one another.

use bytes::Bytes;
use bytes::BytesMut;

/// Terminator of an event.
const BLANK_LINE: &[u8] = b"\n\n";
/// Name of the field that carries an event's id.
const ID: &[u8] = b"id";
/// Name of the field that carries an event's data.
const DATA: &[u8] = b"data";

/// Largest incomplete event that is buffered, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reason why bytes aren't the continuation of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A line isn't a field of an event.
    NotAnEvent,
    /// The id of an event doesn't follow that of the event before.
    OutOfOrder,
    /// An event exceeds [`MAX_EVENT_BYTES`].
    TooLarge,
}

impl Fault {
    /// Returns the cause for the log.
    pub fn cause(self) -> &'static str {
        match self {
            Fault::NotAnEvent => "not_an_event",
            Fault::OutOfOrder => "out_of_order",
            Fault::TooLarge => "event_too_large",
        }
    }
}

/// Fields of one event that matter to the order of a stream.
#[derive(Clone, Copy, Debug, Default)]
struct EventFields {
    id: Option<u64>,
    has_data: bool,
}

/// Buffers the incomplete end of a stream and tracks the id of the latest complete event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    last: Option<u64>,
    /// Whether the ids don't rise by one.
    is_sparse: bool,
    /// Whether events with data but without an id came after the event `last`.
    has_unnumbered: bool,
    /// Whether another response goes on with a stream that was cut off.
    is_resumed: bool,
    /// Whether no event of the present response has come yet.
    is_fresh: bool,
    fault: Option<Fault>,
}

impl EventBuffer {
    /// Creates a buffer for a stream that begins after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        EventBuffer { last, is_fresh: true, ..EventBuffer::default() }
    }

    /// Discards the incomplete event of a response that was cut off. Another response goes on after
    /// the latest complete event.
    pub fn resume(&mut self) {
        let EventBuffer { last, is_sparse, .. } = *self;
        *self = EventBuffer { is_sparse, is_resumed: true, ..EventBuffer::after(last) };
    }

    /// Appends bytes and returns all events that are complete and follow on those before.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        if self.fault.is_some() {
            return None;
        }
        let searched = self.bytes.len().saturating_sub(BLANK_LINE.len() - 1);
        self.bytes.extend_from_slice(bytes);
        let end = self.bytes[searched..].windows(BLANK_LINE.len()).rposition(is_blank_line);
        let Some(end) = end else {
            if self.bytes.len() > MAX_EVENT_BYTES {
                self.bytes = BytesMut::new();
                self.fault = Some(Fault::TooLarge);
            }
            return None;
        };
        let mut whole = self.bytes.split_to(searched + end + BLANK_LINE.len()).freeze();
        whole.truncate(self.check(&whole));
        (!whole.is_empty()).then_some(whole)
    }

    /// Returns the id of the latest complete event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Returns why the bytes after the returned events don't continue the stream, if they don't.
    pub fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Returns whether [`EventBuffer::last`] tells another upstream where to go on.
    pub fn may_resume(&self) -> bool {
        !self.has_unnumbered
    }

    /// Returns whether a response that goes on with a stream has added no event to it.
    pub fn lacks_rest(&self) -> bool {
        self.is_resumed && self.is_fresh
    }

    /// Returns the length of the complete events that follow on those before.
    fn check(&mut self, events: &[u8]) -> usize {
        let (mut checked, mut length) = (0, 0);
        let mut fields = EventFields::default();
        for line in events.split_inclusive(|byte| *byte == b'\n') {
            length += line.len();
            let result = match line {
                b"\n" => self.record(std::mem::take(&mut fields)),
                line => parse_field(line, &mut fields),
            };
            if let Err(fault) = result {
                self.fault = Some(fault);
                return checked;
            }
            if line == b"\n" {
                checked = length;
            }
        }
        checked
    }

    /// Records a complete event if it follows on those before.
    fn record(&mut self, fields: EventFields) -> Result<(), Fault> {
        let EventFields { id, has_data } = fields;
        match (id, self.last) {
            (None, _) if !has_data => return Ok(()),
            // The rest of a numbered stream begins with a number.
            (None, Some(_)) if self.lacks_rest() => return Err(Fault::OutOfOrder),
            (None, _) => self.has_unnumbered = true,
            (Some(id), last) => {
                let follows = last.is_none_or(|last| {
                    let is_next = last.checked_add(1) == Some(id);
                    is_next || id > last && (self.is_sparse || !self.is_resumed)
                });
                if !follows {
                    return Err(Fault::OutOfOrder);
                }
                self.is_sparse |= !self.is_fresh && last.is_some_and(|last| id - last > 1);
                self.last = Some(id);
                self.has_unnumbered = false;
            }
        }
        self.is_fresh = false;
        Ok(())
    }
}

fn is_blank_line(window: &[u8]) -> bool {
    window == BLANK_LINE
}

/// Reads a field `NAME: VALUE`, a comment or a name alone.
fn parse_field(line: &[u8], fields: &mut EventFields) -> Result<(), Fault> {
    let line = line.trim_ascii_end();
    let end = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
    let (name, value) = line.split_at(end);
    if !name.iter().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_')) {
        return Err(Fault::NotAnEvent);
    }
    match name {
        ID => {
            let value = std::str::from_utf8(&value[value.len().min(1)..]).unwrap_or_default();
            fields.id = value.trim().parse().ok().or(fields.id);
        }
        DATA => fields.has_data = true,
        _ => {}
    }
    Ok(())
}
