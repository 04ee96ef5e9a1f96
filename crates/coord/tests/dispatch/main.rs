//! Tests of the dispatcher in virtual time, compared with the two-choices baseline.

mod policy;
mod slots;
mod world;
