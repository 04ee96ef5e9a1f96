//! Dispatch in virtual time, against the baseline.

mod policy;
mod slots;
mod world;
