//! Tests of placement: single decisions, safeguards, and planners that compete for one table.

mod decisions;
mod guards;
mod races;
mod simulation;
