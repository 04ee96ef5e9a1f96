//! Numbered log events, listed in `docs/EVENTS.md`; a test checks that the list matches.

use std::fmt::Arguments;
use std::io::stderr;

use log::Level;
use log::LevelFilter;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;

use crate::sink::Sink;

macro_rules! events {
    ($($name:ident = $code:literal, $level:ident, $summary:literal;)*) => {
        /// A log event with a fixed number, level and summary.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $(#[doc = $summary] $name,)*
        }

        impl Event {
            /// All events in ascending order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// The event's number, whose meaning never changes.
            pub fn code(self) -> u16 {
                match self { $(Event::$name => $code,)* }
            }

            /// The level at which the event is logged.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// One-line description of the event.
            pub fn summary(self) -> &'static str {
                match self { $(Event::$name => $summary,)* }
            }
        }
    };
}

events! {
    Started = 100, Info, "the process listens";
    Stopping = 101, Info, "the process was asked to stop and accepts no new requests";
    Stopped = 102, Info, "the process finished its last request and ends";
    Reloaded = 103, Info, "the process was notified that its settings file changed";
    SettingsRefused = 104, Warn, "the changed settings file is invalid, the settings in force stay";
    PlatformFailed = 110, Warn, "the platform gave no answer or an error";
    PlatformBack = 111, Info, "the platform answers again";
    PlatformRestored = 112, Warn, "the platform came back from an older copy";
    TableReread = 113, Info, "changes of a table can't be followed further, it is read in full";
    PlatformContradicted = 114, Warn, "an answer of the platform contradicts earlier ones";
    FeedDoubted = 115, Info, "a feed may have lost its answer, changes are read by another call";
    LinesDropped = 120, Warn, "log lines were dropped because standard output was not read in time";
    Joined = 200, Info, "the member joined the view";
    ViewChanged = 201, Info, "a new view is in force";
    Removed = 202, Warn, "the member was removed from the view";
    TermLapsed = 203, Warn, "the member's term lapsed, it stops acting";
    HomeMoved = 204, Info, "a home moved to or away from this member";
    PeerHeard = 205, Info, "another daemon reported for the first time since its start";
    PeerSilent = 206, Warn, "another daemon stopped reporting, callers no longer get its address";
    PeerKeyChanged = 207, Info, "another key authenticates the messages between daemons";
    LateAnnouncement = 208, Info, "a message of an earlier lease holder was ignored";
    EnginesUnreachable = 209, Warn, "this daemon reaches no upstream, others serve its callers";
    EnginesReached = 210, Info, "this daemon reaches upstreams again";
    RevisionInForce = 300, Info, "a configuration revision is in force here";
    RevisionStale = 301, Warn, "the revision could not be confirmed in time, requests are refused";
    KeyRevoked = 302, Info, "a key was revoked and its open requests were aborted";
    EntrySkipped = 303, Warn, "an entry of the configuration cannot be read and counts as absent";
    ZoneDrained = 304, Info, "a zone's engines get no new work";
    ZoneBack = 305, Info, "a zone's engines get work again";
    Answered = 400, Info, "a request was answered";
    Refused = 401, Info, "a request was refused";
    Cancelled = 402, Info, "a caller went away and its work was cancelled";
    Resumed = 403, Warn, "an answer broke off and was resumed elsewhere";
    Broken = 404, Error, "an answer could not be completed";
    Sent = 405, Info, "a request was sent to an upstream";
    AttemptFailed = 406, Warn, "an upstream failed a request or refused it";
    Waiting = 407, Info, "a request waits for a model or an adapter that no upstream holds";
    CapReached = 408, Info, "a team has too few tokens left for a request";
    Quarantined = 409, Warn, "a part of prompts crashes upstreams, requests with it are refused";
    CallUnknown = 410, Warn, "a call that may not be repeated ended with an unknown outcome";
    PartCleared = 411, Info, "a part of prompts no longer counts as crashing upstreams";
    RequestQuarantined = 412, Warn, "a request crashes upstreams, its repetitions are refused";
    RequestCleared = 413, Info, "a request no longer counts as crashing upstreams";
    TurnLate = 414, Info, "a request is refused because upstreams are full and its turn comes too late";
    MemoryShort = 415, Warn, "memory or connections for callers ran out, some were refused or closed";
    ReleaseMissing = 416, Info, "a stream can't go on at the software release that began it";
    OriginResolved = 417, Info, "the software release that began a caller's stream was looked up";
    Detoured = 418, Info, "a request goes through another daemon, since this one reaches no upstream or has no share of them";
    DetourFailed = 419, Info, "another daemon didn't take a request";
    CrashDismissed = 420, Info, "an upstream ended a connection and doesn't count as crashed";
    UpstreamsRanked = 440, Debug, "the upstreams for a request were ranked";
    Decided = 500, Info, "a placement decision was recorded";
    Ordered = 501, Info, "an order was sent to an upstream";
    OrderRefused = 502, Warn, "an upstream refused an order";
    Adopted = 503, Info, "intents of an earlier controller were adopted";
    LeaseTaken = 504, Info, "this daemon holds the lease on orders";
    LeaseLost = 505, Warn, "this daemon no longer holds the lease on orders";
    UsageReported = 506, Info, "the usage report of a window was accepted";
    UsageUncertain = 507, Warn, "a usage report has no answer or was refused, it is sent again";
    UsageLeftAlone = 508, Warn, "a window with usage is not reported";
    DutyRefused = 509, Warn, "the platform refused a call because of its fence or the rate of calls";
    UpstreamLeaving = 510, Info, "an upstream leaves and gets no new work";
    UpstreamListed = 511, Info, "an upstream is listed, or what it holds changed";
    UpstreamCrashed = 512, Warn, "an upstream crashed while requests were there";
    UpstreamLimited = 513, Info, "an upstream names a limit on the requests of all daemons";
    UpstreamPaused = 514, Info, "an upstream gets nothing from this daemon for some time";
    LoadOrdered = 515, Info, "a load of a model was ordered, with its reason";
    EnginesOrdered = 516, Info, "a number of engines was ordered for a zone";
    ReleaseListed = 517, Info, "the store lists a software release, streams may begin there";
    ReleaseExpired = 518, Info, "the store stopped listing a software release without engines";
    UpstreamBrittle = 519, Info, "upstreams fall over if they turn many requests away, or no longer do";
}

/// Logs `event` with `detail`, which holds `key=value` pairs.
pub fn log(event: Event, detail: Arguments<'_>) {
    log::log!(event.level(), "E{:03} {}: {}", event.code(), event.summary(), detail);
}

/// Logs to standard error at `level` and above.
///
/// Further calls in one process have no effect, so several daemons can share a process.
pub fn init(level: LevelFilter) {
    let _ = WriteLogger::init(level, config(), stderr());
}

/// Logs to standard output at `level` and above, through the buffer of [`crate::sink`].
pub fn init_buffered(level: LevelFilter) {
    let _ = WriteLogger::init(level, config(), Sink);
}

fn config() -> simplelog::Config {
    ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("corianderyoke").build()
}
