//! Relays an event stream to the caller and resumes it on another engine if it is cut off.

use std::time::Duration;

use bytes::Bytes;
use corianderyoke_coord::serving::stream::EventBuffer;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use futures::stream;
use http::header;
use http::response::Parts;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Frame;

use crate::body;
use crate::body::Body;
use crate::body::Truncated;
use crate::forward::attempt::Attempts;
use crate::forward::attempt::EngineResponse;
use crate::forward::caller_response;
use crate::forward::observe;
use crate::forward::observe::Gaps;
use crate::forward::Target;
use crate::origins;
use crate::quarantine;

/// Result of waiting for the first events of a stream.
pub enum StreamStart {
    /// Response to the caller.
    Stream(Response<Body>),
    /// The stream was cut off before its first event, so another attempt may follow.
    Failed(Box<Attempts>),
}

/// Result of reading a stream.
enum NextChunk {
    /// One or more complete events.
    Events(Bytes),
    /// The stream ended completely.
    End,
    /// No further event arrived in time. Contains the cause for the log.
    Broken(&'static str),
    /// The connection ended before the stream was complete. Contains the cause for the log.
    Cut(&'static str),
}

/// Least interval between two events that are recorded as signs that engines are reached.
const CONTACT_INTERVAL: Duration = Duration::from_millis(200);
/// Media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Kind of the response that begins a stream.
#[derive(Debug)]
struct StreamKind {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl StreamKind {
    fn of(head: &Parts) -> Self {
        let content_type = head.headers.get(header::CONTENT_TYPE).cloned();
        StreamKind { status: head.status, content_type }
    }

    /// Returns whether a response of another kind may go on with the stream.
    fn may_continue_with(&self, other: &StreamKind) -> bool {
        let media_type = other.media_type();
        let is_stream = media_type == Some(EVENT_STREAM) || media_type == self.media_type();
        is_stream && other.status == self.status
    }

    /// Returns the content type without its parameters.
    fn media_type(&self) -> Option<&[u8]> {
        let value = self.content_type.as_ref()?.as_bytes();
        value.split(|byte| *byte == b';').next().map(<[u8]>::trim_ascii)
    }
}

/// Stream that is being relayed.
struct StreamRelay {
    attempts: Attempts,
    kind: StreamKind,
    source: Option<EngineResponse>,
    buffer: EventBuffer,
    /// Gaps between the events of the current source.
    gaps: Gaps,
    /// Latest time at which events were recorded as a sign that engines are reached.
    contact: Tick,
}

/// Waits for the first events and starts the caller's response with them.
pub async fn begin(attempts: Attempts, response: EngineResponse) -> StreamStart {
    let mut head = response.head.clone();
    // The rest of another engine may have another length.
    head.headers.remove(header::CONTENT_LENGTH);
    let kind = StreamKind::of(&head);
    let may_repeat = attempts.call.route.repeat.may_repeat();
    let buffer = EventBuffer::after(attempts.last_event.filter(|_| may_repeat));
    let mut relay = StreamRelay {
        attempts,
        kind,
        source: Some(response),
        buffer,
        gaps: Gaps::default(),
        contact: clock::now(),
    };
    match relay.next_chunk().await {
        NextChunk::Events(events) => StreamStart::Stream(relay.response(head, Some(events))),
        NextChunk::End => {
            relay.finish();
            StreamStart::Stream(relay.response(head, None))
        }
        NextChunk::Broken(cause) => {
            relay.end_source(Attempts::record_broken, cause);
            StreamStart::Failed(Box::new(relay.attempts))
        }
        NextChunk::Cut(cause) => {
            relay.end_source(Attempts::record_cut, cause);
            StreamStart::Failed(Box::new(relay.attempts))
        }
    }
}

impl StreamRelay {
    fn response(self, head: Parts, first: Option<Bytes>) -> Response<Body> {
        let chunks = stream::unfold((self, first), |(mut relay, first)| async move {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (relay, None)));
            }
            let chunk = relay.next_for_caller().await?;
            Some((chunk.map(Frame::data), (relay, None)))
        });
        caller_response(head, body::streamed(chunks))
    }

    /// Returns the next chunk for the caller; `None` at the end of the stream.
    async fn next_for_caller(&mut self) -> Option<Result<Bytes, Truncated>> {
        self.source.as_ref()?;
        loop {
            match self.next_chunk().await {
                NextChunk::Events(events) => {
                    // The caller has taken the events before.
                    self.attempts.call.connection.record_progress(events.len());
                    return Some(Ok(events));
                }
                NextChunk::End => {
                    self.finish();
                    return None;
                }
                NextChunk::Broken(cause) => self.end_source(Attempts::record_broken, cause),
                NextChunk::Cut(cause) => self.end_source(Attempts::record_cut, cause),
            }
            if !self.resume().await {
                let record = self.attempts.call.record();
                record.set_response(200, "broken_off");
                return Some(Err(Truncated));
            }
        }
    }

    async fn next_chunk(&mut self) -> NextChunk {
        let Some(source) = &mut self.source else { return NextChunk::End };
        loop {
            if let Some(fault) = self.buffer.fault() {
                return NextChunk::Broken(fault.cause());
            }
            let frame = self.attempts.wait_for_event(source.body.frame(), &source.target).await;
            match frame {
                None => return NextChunk::Broken("silent"),
                Some(Some(Err(_))) if source.connection.is_flooded() => {
                    return NextChunk::Broken("flooded");
                }
                Some(Some(Err(_))) => return NextChunk::Cut("stream_broken"),
                Some(None) if self.buffer.is_partial() => return NextChunk::Cut("stream_cut"),
                Some(None) if self.buffer.lacks_rest() => return NextChunk::Broken("empty"),
                Some(None) => return NextChunk::End,
                Some(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    if let Some(events) = self.buffer.push(&bytes) {
                        source.guard.finish_prefill();
                        let now = clock::now();
                        if !self.gaps.record(now) {
                            observe::record_first_event(&self.attempts, &source.target, now);
                        }
                        if now.since(self.contact) >= CONTACT_INTERVAL {
                            self.contact = now;
                            self.attempts.call.shared.state().reach.record_contact(now);
                        }
                        origins::record_event(&mut self.attempts.call, source.target.release, now);
                        self.attempts.count_run();
                        self.attempts.call.record().record_chunk();
                        return NextChunk::Events(events);
                    }
                }
            }
        }
    }

    /// Gives up the engine, and records why with `record`.
    fn end_source(
        &mut self,
        record: fn(&mut Attempts, &Target, &'static str),
        cause: &'static str,
    ) {
        if let Some(source) = self.source.take() {
            record(&mut self.attempts, &source.target, cause);
        }
        self.attempts.last_event = self.buffer.last();
    }

    /// Resumes on another engine after the last event that was relayed. Returns whether it
    /// succeeded.
    async fn resume(&mut self) -> bool {
        self.attempts.check_crash().await;
        if !self.attempts.call.route.repeat.may_repeat() || !self.buffer.may_resume() {
            return false;
        }
        self.attempts.call.extend_start();
        let source = loop {
            let Ok(source) = self.attempts.next().await else { return false };
            if self.kind.may_continue_with(&StreamKind::of(&source.head)) {
                break source;
            }
            self.attempts.record_broken(&source.target, "other_kind");
            if !source.head.status.is_success() {
                return false;
            }
        };
        events::log(
            Event::Resumed,
            format_args!(
                "id={} engine={} after_event={:?}",
                self.attempts.call.id, source.target.id, self.attempts.last_event
            ),
        );
        self.attempts.call.shared.metrics.resumed.inc();
        self.buffer.resume();
        self.gaps = Gaps::default();
        self.source = Some(source);
        true
    }

    fn finish(&mut self) {
        let Some(source) = self.source.take() else { return };
        let shared = &self.attempts.call.shared;
        shared.pool.release(&source.target.id, source.connection, &source.head);
        shared.state().engines.record_success(source.target.key);
        quarantine::record_served(&self.attempts.call, &source.head.headers);
        observe::record_gaps(&self.attempts.call, &source.target, &self.gaps);
        self.attempts.call.record().set_response(200, "engine");
    }
}
