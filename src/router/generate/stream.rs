//! Renders the pieces of an answer as an event stream or as one JSON object.

use std::sync::Arc;

use bytes::Bytes;
use corianderyoke_history::Event as Recorded;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::router::format::Format;
use crate::router::generate::lost;
use crate::router::generate::Piece;
use crate::router::generate::READ_WITHIN;
use crate::router::http::Answer;
use crate::router::refusal::Result;
use crate::router::Router;

pub(super) async fn collect(
    format: Format,
    first: Piece,
    mut coming: mpsc::Receiver<Piece>,
) -> Result<Answer> {
    let mut text = String::new();
    let mut piece = first;
    loop {
        match piece {
            Piece::Token(token) => text.push_str(&token),
            Piece::Done { reason, prompt_tokens, tokens } => {
                let body = format.whole(&text, &reason, prompt_tokens, tokens);
                return Ok(Answer::json(&body));
            }
            Piece::Failed(refusal) => return Err(refusal),
        }
        piece = coming.recv().await.unwrap_or_else(|| Piece::Failed(lost()));
    }
}

/// Records in the history how a stream ended.
pub(super) struct Ends {
    pub(super) router: Arc<Router>,
    pub(super) id: String,
}

impl Ends {
    fn sent(&self, whole: bool) {
        self.router.record(|| Recorded::Answer { request: self.id.clone(), whole });
    }

    fn gone(&self) {
        self.router.record(|| Recorded::CallerGone { request: self.id.clone() });
    }
}

pub(super) fn events_of(
    format: Format,
    first: Piece,
    mut coming: mpsc::Receiver<Piece>,
    ends: Ends,
) -> mpsc::Receiver<Bytes> {
    let (events, outgoing) = mpsc::channel(1);
    tokio::spawn(async move {
        let mut piece = first;
        loop {
            let whole = matches!(piece, Piece::Done { .. });
            let (event, last) = event_of(&format, piece);
            let sent = timeout(READ_WITHIN, events.send(event)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return ends.gone();
            }
            if last {
                return ends.sent(whole);
            }
            piece = tokio::select! {
                piece = coming.recv() => piece.unwrap_or_else(|| Piece::Failed(lost())),
                // The caller disconnected: dropping `pieces` cancels the generation.
                () = events.closed() => return ends.gone(),
            };
        }
    });
    outgoing
}

fn event_of(format: &Format, piece: Piece) -> (Bytes, bool) {
    match piece {
        Piece::Token(token) => (format.token(&token), false),
        Piece::Done { reason, prompt_tokens, tokens } => {
            (format.last(&reason, prompt_tokens, tokens), true)
        }
        Piece::Failed(refusal) => (format.error(&refusal), true),
    }
}
