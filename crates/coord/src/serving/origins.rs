//! Remembers at which release of the engines' software each stream began.
//!
//! What two releases write doesn't fit together, so a stream may go on only at the release that began
//! it. Engines don't check this, and a caller may take its stream up at any daemon. A stream whose
//! origin isn't known goes on only if the service has had a single release for as long as streams can
//! be taken up.
//!
//! That has to hold after all daemons were killed, too. So a resumable stream begins only at a release
//! that the store lists, and while a service has several, its streams are listed there as well.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::hash::hash;
use crate::hash::mix;
use crate::time::Tick;

/// Least time for which a stream and a release are remembered.
const MIN_RETENTION: Duration = Duration::from_secs(10);
/// Longest time for which a stream and a release are remembered.
const MAX_RETENTION: Duration = Duration::from_secs(120);
/// Multiple of the longest time limit of a route for which a stream is remembered. The caller's own
/// limit starts earlier and may be longer.
const RETENTION_FACTOR: u32 = 2;
/// Multiple of the retention after which a release that no engine has is removed from the store. All
/// daemons have forgotten it by then.
const LISTING_FACTOR: u32 = 2;
/// Most streams that are remembered; the earliest are dropped first.
const MAX_STREAMS: usize = 1 << 18;

/// Release of the engines' software: hash of the service and the version.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Release(pub u32);

impl Release {
    /// Returns the release of a service's engines with this version.
    pub fn new(service: &str, software: &str) -> Self {
        Release(mix(hash(0, service.bytes().chain([0]).chain(software.bytes()))) as u32)
    }
}

/// Stream: hash of the caller's attempt that brought its first event.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the stream whose first event the attempt brought.
    pub fn new(attempt: &str) -> Self {
        StreamKey(mix(hash(0, attempt.bytes())))
    }
}

/// Beginning of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Beginning {
    /// The stream.
    pub stream: StreamKey,
    /// Release of the engine that sent the first event.
    pub release: Release,
    /// Time of the first event.
    pub at: Tick,
}

#[derive(Clone, Copy, Debug)]
struct Origin {
    release: Release,
    at: Tick,
    /// Whether the stream began at this daemon.
    is_own: bool,
}

/// What is known of a release.
#[derive(Clone, Debug)]
struct Known {
    service: String,
    software: String,
    /// Latest time at which an engine had it, or at which the store listed it to a daemon that started.
    seen: Tick,
    /// Whether the store lists it.
    is_listed: bool,
}

/// What is known of the release that began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// The stream began at this release.
    Known(Release),
    /// The service has had only this release, as far as this daemon knows.
    Only(Release),
    /// It may have begun at any of several releases.
    Unknown,
}

/// Releases of all services and the streams that began at them.
#[derive(Debug)]
pub struct Origins {
    retention: Duration,
    streams: IndexMap<StreamKey, Origin>,
    releases: IndexMap<Release, Known>,
    /// Streams of services with several releases that this daemon hasn't written to the store.
    unwritten: IndexSet<StreamKey>,
    /// Time until which all own streams are reported, not only new ones.
    report_all_until: Tick,
}

impl Default for Origins {
    fn default() -> Self {
        Origins {
            retention: MIN_RETENTION,
            streams: IndexMap::new(),
            releases: IndexMap::new(),
            unwritten: IndexSet::new(),
            report_all_until: Tick(0),
        }
    }
}

impl Origins {
    /// Sets the longest time limit of a route.
    pub fn set_time_limit(&mut self, limit: Duration) {
        self.retention = (limit * RETENTION_FACTOR).clamp(MIN_RETENTION, MAX_RETENTION);
    }

    /// Returns for how long streams are remembered.
    pub fn retention(&self) -> Duration {
        self.retention
    }

    /// Records that an engine has a release. Returns whether the store has to list it first.
    pub fn see(&mut self, service: &str, software: &str, now: Tick) -> bool {
        let release = Release::new(service, software);
        if let Some(known) = self.releases.get_mut(&release) {
            known.seen = now;
            return !known.is_listed;
        }
        self.insert(service, software, now, false);
        true
    }

    /// Records that the store lists a release. One that no engine has is remembered from now on, since
    /// streams may have begun there until a moment ago.
    pub fn record_listed(&mut self, service: &str, software: &str, now: Tick) {
        match self.releases.get_mut(&Release::new(service, software)) {
            Some(known) => known.is_listed = true,
            None => self.insert(service, software, now, true),
        }
    }

    fn insert(&mut self, service: &str, software: &str, seen: Tick, is_listed: bool) {
        let (service, software) = (service.to_owned(), software.to_owned());
        let release = Release::new(&service, &software);
        let known = Known { service: service.clone(), software, seen, is_listed };
        self.releases.insert(release, known);
        if self.is_mixed(&service) {
            self.write_all();
        }
    }

    /// Makes this daemon report its streams to the others once more, and write all streams that it
    /// knows if it is the one that writes. To be called when another daemon begins to write.
    pub fn repeat(&mut self, until: Tick) {
        self.report_all_until = self.report_all_until.max(until);
        self.write_all();
    }

    fn write_all(&mut self) {
        let keys: Vec<StreamKey> = self.streams.keys().copied().collect();
        self.unwritten.extend(keys);
    }

    /// Returns whether a resumable stream may begin at a release: the store lists it.
    pub fn may_begin(&self, release: Release) -> bool {
        self.releases.get(&release).is_some_and(|known| known.is_listed)
    }

    /// Returns the service and the version of each release that the store has to list.
    pub fn unlisted(&self) -> Vec<(String, String)> {
        let unlisted = self.releases.values().filter(|known| !known.is_listed);
        unlisted.map(|known| (known.service.clone(), known.software.clone())).collect()
    }

    /// Returns the service and the version of each known release.
    pub fn known(&self) -> Vec<(String, String)> {
        let known = self.releases.values();
        known.map(|known| (known.service.clone(), known.software.clone())).collect()
    }

    /// Returns whether a service has several releases, or had within the retention.
    pub fn is_mixed(&self, service: &str) -> bool {
        self.releases_of(service).count() > 1
    }

    /// Returns the service and the version of each listed release of a mixed service.
    pub fn mixed(&self) -> Vec<(String, String)> {
        let mixed = self.releases.values();
        mixed
            .filter(|known| known.is_listed && self.is_mixed(&known.service))
            .map(|known| (known.service.clone(), known.software.clone()))
            .collect()
    }

    /// Returns whether any service is mixed.
    pub fn is_any_mixed(&self) -> bool {
        !self.mixed_releases().is_empty()
    }

    fn releases_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = Release> + 'a {
        let of = self.releases.iter().filter(move |(_, known)| known.service == service);
        of.map(|(release, _)| *release)
    }

    /// Returns what is known of the release that began a stream of a service.
    pub fn resolve(&self, service: &str, stream: Option<StreamKey>) -> Resolution {
        if let Some(origin) = stream.and_then(|stream| self.streams.get(&stream)) {
            return Resolution::Known(origin.release);
        }
        let mut releases = self.releases_of(service);
        match (releases.next(), releases.next()) {
            (Some(release), None) => Resolution::Only(release),
            _ => Resolution::Unknown,
        }
    }

    /// Records that a stream began at this daemon.
    pub fn begin(&mut self, stream: StreamKey, release: Release, now: Tick) {
        self.record(Beginning { stream, release, at: now }, true);
    }

    /// Records a stream that began at another daemon.
    pub fn record_reported(&mut self, beginning: Beginning) {
        self.record(beginning, false);
    }

    /// Records a stream that the store lists.
    pub fn record_written(&mut self, beginning: Beginning) {
        self.record(beginning, false);
        self.unwritten.swap_remove(&beginning.stream);
    }

    fn record(&mut self, beginning: Beginning, is_own: bool) {
        let Beginning { stream, release, at } = beginning;
        // What is known of a stream never changes.
        if self.streams.contains_key(&stream) {
            return;
        }
        if self.streams.len() >= MAX_STREAMS {
            self.streams.drain(..MAX_STREAMS / 8);
        }
        self.streams.insert(stream, Origin { release, at, is_own });
        self.unwritten.insert(stream);
    }

    /// Returns the own streams of mixed services that began within `span`, or all of them after
    /// [`Origins::repeat`]; the latest first, at most `limit`.
    pub fn reported(&self, span: Duration, limit: usize, now: Tick) -> Vec<Beginning> {
        let is_due = |origin: &Origin| now < self.report_all_until || now.since(origin.at) < span;
        let mixed = self.mixed_releases();
        let own = self.streams.iter().rev().filter(|(_, origin)| origin.is_own && is_due(origin));
        own.filter(|(_, origin)| mixed.contains(&origin.release))
            .map(|(&stream, &Origin { release, at, .. })| Beginning { stream, release, at })
            .take(limit)
            .collect()
    }

    /// Returns the releases of the services that have several.
    fn mixed_releases(&self) -> Vec<Release> {
        let mixed = self.releases.iter().filter(|(_, known)| self.is_mixed(&known.service));
        mixed.map(|(release, _)| *release).collect()
    }

    /// Returns the streams of mixed services that aren't written to the store, at most `limit`; only
    /// own ones if `own` is set.
    pub fn unwritten(&self, own: bool, limit: usize) -> Vec<Beginning> {
        let mixed = self.mixed_releases();
        let listed = self.unwritten.iter().filter_map(|&stream| {
            let &Origin { release, at, is_own } = self.streams.get(&stream)?;
            if own && !is_own {
                return None;
            }
            mixed.contains(&release).then_some(Beginning { stream, release, at })
        });
        listed.take(limit).collect()
    }

    /// Returns the service and version of each release that the store may stop listing.
    pub fn expired(&self, now: Tick) -> Vec<(String, String)> {
        let limit = self.retention * LISTING_FACTOR;
        let expired = self.releases.values();
        let expired = expired.filter(|known| known.is_listed && now.since(known.seen) >= limit);
        expired.map(|known| (known.service.clone(), known.software.clone())).collect()
    }

    /// Forgets a release that the store stopped listing.
    pub fn forget(&mut self, service: &str, software: &str) {
        self.releases.shift_remove(&Release::new(service, software));
    }

    /// Forgets streams that can't be taken up any more, and releases that no engine has. `is_writer`
    /// says whether this daemon keeps the store's list and so remembers releases until they are removed
    /// there.
    pub fn prune(&mut self, is_writer: bool, now: Tick) {
        let retention = self.retention;
        self.streams.retain(|_, origin| now.since(origin.at) < retention);
        let streams = &self.streams;
        self.unwritten.retain(|stream| streams.contains_key(stream));
        if !is_writer {
            self.releases.retain(|_, known| now.since(known.seen) < retention);
        }
    }

    /// Returns the number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no streams are remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
