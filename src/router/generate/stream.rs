//! Renders the pieces of an answer as an event stream or as one JSON object.

use std::sync::Arc;

use bytes::Bytes;
use corianderyoke_history::Event as HistoryEvent;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::router::format::Format;
use crate::router::generate::Piece;
use crate::router::generate::READ_TIMEOUT;
use crate::router::http::Answer;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::Router;

pub(super) async fn collect(
    format: Format,
    first: Piece,
    mut pieces: mpsc::Receiver<Piece>,
) -> Result<Answer> {
    let mut text = String::new();
    let mut piece = first;
    loop {
        match piece {
            Piece::Token(token) => text.push_str(&token),
            Piece::Done { reason, prompt_tokens, tokens } => {
                let body = format.complete(&text, &reason, prompt_tokens, tokens);
                return Ok(Answer::json(&body));
            }
            Piece::Failed(refusal) => return Err(refusal),
        }
        piece = pieces.recv().await.unwrap_or_else(|| Piece::Failed(Refusal::lost()));
    }
}

/// Records in the history how a stream ended.
pub(super) struct StreamRecorder {
    pub(super) router: Arc<Router>,
    pub(super) id: String,
}

impl StreamRecorder {
    fn record_end(&self, complete: bool) {
        self.router.record(|| HistoryEvent::Answer { request: self.id.clone(), whole: complete });
    }

    fn record_disconnect(&self) {
        self.router.record(|| HistoryEvent::CallerGone { request: self.id.clone() });
    }
}

pub(super) fn spawn_stream(
    format: Format,
    first: Piece,
    mut pieces: mpsc::Receiver<Piece>,
    recorder: StreamRecorder,
) -> mpsc::Receiver<Bytes> {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let mut piece = first;
        loop {
            let complete = matches!(piece, Piece::Done { .. });
            let (event, is_last) = render_piece(&format, piece);
            let delivered = timeout(READ_TIMEOUT, sender.send(event)).await;
            if !matches!(delivered, Ok(Ok(()))) {
                return recorder.record_disconnect();
            }
            if is_last {
                return recorder.record_end(complete);
            }
            piece = tokio::select! {
                piece = pieces.recv() => piece.unwrap_or_else(|| Piece::Failed(Refusal::lost())),
                // The caller disconnected: dropping `pieces` cancels the generation.
                () = sender.closed() => return recorder.record_disconnect(),
            };
        }
    });
    receiver
}

fn render_piece(format: &Format, piece: Piece) -> (Bytes, bool) {
    match piece {
        Piece::Token(token) => (format.token(&token), false),
        Piece::Done { reason, prompt_tokens, tokens } => {
            (format.end(&reason, prompt_tokens, tokens), true)
        }
        Piece::Failed(refusal) => (format.error(&refusal), true),
    }
}
