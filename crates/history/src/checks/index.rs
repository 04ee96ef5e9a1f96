//! Look-ups that several checkers need.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;

/// Calls by request id: the record with the name of the key and whether the route is open.
pub(crate) struct Calls<'a> {
    table: IndexMap<&'a str, CallEntry<'a>>,
}

/// One call.
#[derive(Clone, Copy)]
pub(crate) struct CallEntry<'a> {
    pub record: &'a Record,
    pub key: Option<&'a str>,
    pub open: bool,
}

impl<'a> Calls<'a> {
    pub fn new(history: &'a History) -> Self {
        let mut table = IndexMap::new();
        for (record, event) in history.events() {
            if let Event::Call { request, key, open, .. } = event {
                let entry = CallEntry { record, key: key.as_deref(), open: *open };
                table.insert(request.as_str(), entry);
            }
        }
        Calls { table }
    }

    pub fn get(&self, request: &str) -> Option<CallEntry<'a>> {
        self.table.get(request).copied()
    }
}

/// Processes that were killed: what they left open is nobody's fault.
pub(crate) fn killed(history: &History) -> IndexSet<&str> {
    history
        .events()
        .filter_map(|(_, event)| match event {
            Event::ProcessKilled { target } => Some(target.as_str()),
            _ => None,
        })
        .collect()
}
