//! Tests of team limits: never exceeded under faults, and no refusals of requests within the rate.

mod limits;
mod permits;
mod refusals;
mod world;
