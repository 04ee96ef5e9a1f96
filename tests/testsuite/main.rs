//! Integration tests.

mod operators;
