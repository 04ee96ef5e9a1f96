//! Helpers shared by all processes.

pub use corianderyoke_util::clock;
pub use corianderyoke_util::events;
pub use corianderyoke_util::exit;
pub use corianderyoke_util::lifecycle;
pub use corianderyoke_util::memory;
pub use corianderyoke_util::settings;
pub use corianderyoke_util::start;
pub use corianderyoke_util::table;
pub use corianderyoke_util::utc;

pub mod observe;
