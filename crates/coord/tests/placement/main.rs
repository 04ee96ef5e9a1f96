//! Placement: planners against each other on one table, and the parts of a decision.

mod decisions;
mod guards;
mod races;
mod world;
