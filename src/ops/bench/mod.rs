//! Demo, load, experiments and checks of histories.

pub mod cell;
pub mod demo;
