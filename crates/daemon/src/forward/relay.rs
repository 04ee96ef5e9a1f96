//! Passes a stream of events on, and goes on at another engine where it breaks off.

use bytes::Bytes;
use corianderyoke_coord::serving::stream::EventBuffer;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use futures::stream;
use http::response::Parts;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Frame;

use crate::body;
use crate::body::Body;
use crate::body::BrokenOff;
use crate::forward::attempt::Attempts;
use crate::forward::attempt::Live;
use crate::forward::response;

/// How the beginning of a stream went.
pub enum Begun {
    /// The caller's answer.
    Stream(Response<Body>),
    /// It broke off before the first event.
    Failed(Box<Attempts>),
}

/// What the next bytes of a stream are.
enum Next {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// It broke off.
    Broken(&'static str),
}

/// A stream on its way.
struct Relay {
    attempts: Attempts,
    live: Option<Live>,
    buffer: EventBuffer,
}

/// Waits for the first events and begins the caller's answer with them.
pub async fn begin(attempts: Attempts, live: Live) -> Begun {
    let head = live.head.clone();
    let buffer = EventBuffer::after(attempts.last_event);
    let mut relay = Relay { attempts, live: Some(live), buffer };
    match relay.next().await {
        Next::Events(events) => Begun::Stream(relay.response(head, Some(events))),
        Next::End => {
            relay.finish();
            Begun::Stream(relay.response(head, None))
        }
        Next::Broken(cause) => {
            relay.drop_live(cause);
            Begun::Failed(Box::new(relay.attempts))
        }
    }
}

impl Relay {
    fn response(self, head: Parts, first: Option<Bytes>) -> Response<Body> {
        let pieces = stream::unfold((self, first), |(mut relay, first)| async move {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (relay, None)));
            }
            let piece = relay.piece().await?;
            Some((piece.map(Frame::data), (relay, None)))
        });
        response(head, body::pieces(pieces))
    }

    /// The next piece for the caller; `None` at the end.
    async fn piece(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        self.live.as_ref()?;
        loop {
            match self.next().await {
                Next::Events(events) => return Some(Ok(events)),
                Next::End => {
                    self.finish();
                    return None;
                }
                Next::Broken(cause) => {
                    self.drop_live(cause);
                    if !self.resume().await {
                        let record = self.attempts.call.record();
                        record.answer(200, "broken_off");
                        return Some(Err(BrokenOff));
                    }
                }
            }
        }
    }

    async fn next(&mut self) -> Next {
        let Some(live) = &mut self.live else { return Next::End };
        loop {
            let frame = self.attempts.continued(live.body.frame(), &live.target).await;
            match frame {
                None => return Next::Broken("silent"),
                Some(Some(Err(_))) => return Next::Broken("stream_broken"),
                Some(None) if self.buffer.is_partial() => return Next::Broken("stream_cut"),
                Some(None) => return Next::End,
                Some(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    if let Some(events) = self.buffer.push(&bytes) {
                        live.guard.finish_prefill();
                        self.attempts.call.record().piece();
                        return Next::Events(events);
                    }
                }
            }
        }
    }

    fn drop_live(&mut self, cause: &'static str) {
        if let Some(live) = self.live.take() {
            self.attempts.broke(&live.target, cause);
        }
        self.attempts.last_event = self.buffer.last();
    }

    /// Goes on at another engine after the last event that was passed on.
    async fn resume(&mut self) -> bool {
        if !self.attempts.call.route.repeat.may_repeat() {
            return false;
        }
        let Ok(live) = self.attempts.next().await else { return false };
        if !live.head.status.is_success() {
            return false;
        }
        events::log(
            Event::Resumed,
            format_args!(
                "id={} engine={} after_event={:?}",
                self.attempts.call.id, live.target.id, self.attempts.last_event
            ),
        );
        self.attempts.call.shared.metrics.resumed.inc();
        self.buffer = EventBuffer::after(self.attempts.last_event);
        self.live = Some(live);
        true
    }

    fn finish(&mut self) {
        let Some(live) = self.live.take() else { return };
        let shared = &self.attempts.call.shared;
        shared.pool.give_back(&live.target.id, live.lane, &live.head.headers);
        shared.state().engines.record_success(live.target.key);
        self.attempts.call.record().answer(200, "engine");
    }
}
