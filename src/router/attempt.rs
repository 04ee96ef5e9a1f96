//! Records the start and the end of each attempt at an upstream in the history.

use corianderyoke_history::Event as HistoryEvent;

use crate::router::refusal::Outcome;
use crate::router::Router;

/// Record of one attempt. Dropping it records the end, with outcome "unknown" unless set.
pub struct AttemptRecord<'a> {
    router: &'a Router,
    id: String,
    upstream: String,
    outcome: Outcome,
}

impl<'a> AttemptRecord<'a> {
    /// Records that attempt `id` of `request` is sent to `upstream` for `team`.
    pub fn start(
        router: &'a Router,
        request: &str,
        id: &str,
        team: &str,
        upstream: &str,
    ) -> AttemptRecord<'a> {
        router.record_send(request, id, team, upstream);
        let (id, upstream) = (id.to_owned(), upstream.to_owned());
        AttemptRecord { router, id, upstream, outcome: Outcome::Unknown }
    }

    /// Ends the attempt with a known outcome.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for AttemptRecord<'_> {
    fn drop(&mut self) {
        self.router.record(|| HistoryEvent::UpstreamFinish {
            attempt: self.id.clone(),
            upstream: self.upstream.clone(),
            outcome: self.outcome.into(),
        });
    }
}
