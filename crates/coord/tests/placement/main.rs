//! Placement: planners against each other on one table, and the parts of a decision.

mod decisions;
mod races;
mod world;
