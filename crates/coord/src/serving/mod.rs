//! Serving on a platform that keeps the register, lists the engines and takes no daemon of its own:
//! what a daemon decides for each request and for the engines, without input or output.
//!
//! | module | decides |
//! |---|---|
//! | [`desired`] | which route, team and upstreams a request has |
//! | [`engines`] | which engines exist, what they hold and whether they may be used |
//! | [`choice`] | which engine a request goes to |
//! | [`caps`] | whether a team's cap over the whole fleet lets a request in |
//! | [`quotas`] | how much of a fleet-wide allowance this daemon may use alone |
//! | [`roster`] | which daemons are alive |
//! | [`polling`] | how often a daemon reads the engines' entries itself |
//! | [`lease`] | which daemon orders loads and unloads |
//! | [`demand`] | how much a model is asked for |
//! | [`residency`] | what is loaded where |
//! | [`stream`] | how much of a stream may be passed on |

pub mod caps;
pub mod choice;
pub mod demand;
pub mod desired;
pub mod engines;
pub mod lease;
pub mod polling;
pub mod quotas;
pub mod residency;
pub mod roster;
pub mod stream;
