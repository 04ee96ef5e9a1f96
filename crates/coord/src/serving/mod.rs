//! Decisions of a daemon about requests and engines, without I/O. The platform stores the
//! configuration and lists the engines; the daemon is the project's only process on an instance.
//!
//! | module | decides |
//! |---|---|
//! | [`desired`] | which route, team and service a request belongs to |
//! | [`engines`] | which engines exist, what they hold and whether they may be used |
//! | [`engine_limits`] | whether an engine that names a limit takes a request |
//! | [`notice`] | which process of an engine said that it leaves or needs a pause |
//! | [`choice`] | which engine receives a request |
//! | [`admission`] | which waiting request is sent next, and which is refused |
//! | [`caps`] | whether a team's rate limit over the whole fleet admits a request |
//! | [`quotas`] | how much of a fleet-wide limit this daemon may use on its own |
//! | [`roster`] | which daemons are alive |
//! | [`polling`] | how often a daemon polls the engines' entries |
//! | [`position`] | which of two writes to the store is the later one |
//! | [`lease`] | which daemon orders loads and unloads |
//! | [`duties`] | when a call to the platform's API may be sent, and repeated |
//! | [`usage`] | which counts of the teams' requests are reported |
//! | [`announcements`] | which changes of engines the lease holder tells whom |
//! | [`demand`] | how high the demand for a model is |
//! | [`residency`] | which engine loads which models |
//! | [`prefixes`] | which prompt parts engines have cached |
//! | [`quarantine`] | which parts of prompts crash engines |
//! | [`ranking`] | nothing: ranks the engines for operators |
//! | [`responses`] | which request a response on a kept connection answers |
//! | [`scaling`] | how many engines a service runs in each zone |
//! | [`stagger`] | when a daemon sends a call that the others send as well |
//! | [`shortage`] | whether a request that waits for a load can be served in time |
//! | [`speeds`] | how fast engines are by the other daemons' samples |
//! | [`telemetry`] | how loaded and how fast engines are |
//! | [`stream`] | which part of an event stream is complete |

pub mod admission;
pub mod announcements;
pub mod brittleness;
pub mod caps;
pub mod choice;
pub mod demand;
pub mod desired;
pub mod duties;
pub mod engine_limits;
pub mod engines;
pub mod lease;
pub mod notice;
pub mod origin_rows;
pub mod origins;
pub mod polling;
pub mod position;
pub mod prefixes;
pub mod quarantine;
pub mod quotas;
pub mod ranking;
pub mod reach;
pub mod residency;
pub mod responses;
pub mod roster;
pub mod scaling;
pub mod shortage;
pub mod speeds;
pub mod stagger;
pub mod stream;
pub mod telemetry;
pub mod usage;
