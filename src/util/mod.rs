//! Parts that the binaries share: settings files, tables, exit codes, times.

pub mod exit;
pub mod settings;
pub mod table;
pub mod utc;
