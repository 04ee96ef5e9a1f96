//! The decisions of a daemon on the users' platform.

mod caps;
mod choice;
mod engines;
mod lease;
mod looks;
mod residency;
mod roster;
mod routes;
mod shares;
mod stream;
mod world;
