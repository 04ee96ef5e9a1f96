//! Lookup tables shared by several checkers.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;

/// Calls by request id.
pub(crate) struct Calls<'a> {
    by_request: IndexMap<&'a str, CallEntry<'a>>,
}

/// Record, key name and route type of a call.
#[derive(Clone, Copy)]
pub(crate) struct CallEntry<'a> {
    pub record: &'a Record,
    pub key: Option<&'a str>,
    pub open: bool,
}

impl<'a> Calls<'a> {
    pub fn new(history: &'a History) -> Self {
        let mut by_request = IndexMap::new();
        for (record, event) in history.events() {
            if let Event::Call { request, key, open, .. } = event {
                let entry = CallEntry { record, key: key.as_deref(), open: *open };
                by_request.insert(request.as_str(), entry);
            }
        }
        Calls { by_request }
    }

    pub fn get(&self, request: &str) -> Option<CallEntry<'a>> {
        self.by_request.get(request).copied()
    }
}

/// Returns the killed processes, whose unfinished calls aren't violations.
pub(crate) fn killed(history: &History) -> IndexSet<&str> {
    history
        .events()
        .filter_map(|(_, event)| match event {
            Event::ProcessKilled { target } => Some(target.as_str()),
            _ => None,
        })
        .collect()
}
