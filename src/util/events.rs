//! Numbered log events. Their catalogue is `docs/EVENTS.md`; a test keeps the two equal.

use std::fmt::Arguments;
use std::io::stderr;

use log::Level;
use log::LevelFilter;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;

macro_rules! events {
    ($($name:ident = $code:literal, $level:ident, $summary:literal;)*) => {
        /// Something worth a line in the log.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $(#[doc = $summary] $name,)*
        }

        impl Event {
            /// Every event, in the order of its number.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// The event's number, which never changes its meaning.
            pub fn code(self) -> u16 {
                match self { $(Event::$name => $code,)* }
            }

            /// The level that it is logged at.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// What happened, in one line.
            pub fn summary(self) -> &'static str {
                match self { $(Event::$name => $summary,)* }
            }
        }
    };
}

events! {
    Started = 100, Info, "the process listens";
    Stopping = 101, Info, "the process was told to stop and takes no new callers";
    Stopped = 102, Info, "the process finished its last request and ends";
    PlatformFailed = 110, Warn, "the platform gave no answer or an error";
    Joined = 200, Info, "the member joined the view";
    ViewChanged = 201, Info, "a new view is in force";
    Removed = 202, Warn, "the member was removed from the view";
    TermLapsed = 203, Warn, "the member's term lapsed, it stops acting";
    HomeMoved = 204, Info, "a home moved to or away from this member";
    RevisionInForce = 300, Info, "a configuration revision is in force here";
    RevisionStale = 301, Warn, "the revision could not be confirmed in time, requests are refused";
    KeyRevoked = 302, Info, "a key was revoked and its open requests were cut";
    EntrySkipped = 303, Warn, "an entry of the configuration cannot be read and counts as absent";
    Answered = 400, Info, "a request was answered";
    Refused = 401, Info, "a request was refused";
    Cancelled = 402, Info, "a caller went away and its work was cancelled";
    Resumed = 403, Warn, "an answer broke off and was resumed elsewhere";
    Broken = 404, Error, "an answer could not be completed";
    CallUnknown = 410, Warn, "a call that may not be repeated ended with an unknown outcome";
    Decided = 500, Info, "a placement decision was recorded";
    Ordered = 501, Info, "an order was sent to an upstream";
    OrderRefused = 502, Warn, "an upstream refused an order";
    Adopted = 503, Info, "intents of an earlier controller were adopted";
    UpstreamLeaving = 510, Info, "an upstream leaves and gets no new work";
}

/// Logs `event` with `detail`, which holds `key=value` pairs.
pub fn log(event: Event, detail: Arguments<'_>) {
    log::log!(event.level(), "E{:03} {}: {}", event.code(), event.summary(), detail);
}

/// Sends log lines to standard error, at `level` and above.
///
/// A second call in one process has no effect, so several daemons can share a process.
pub fn init(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("corianderyoke")
        .build();
    let _ = WriteLogger::init(level, config, stderr());
}
