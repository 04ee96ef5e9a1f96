//! Team limits: exact under faults, and without refusing what is inside the rate.

mod limits;
mod permits;
mod refusals;
mod world;
