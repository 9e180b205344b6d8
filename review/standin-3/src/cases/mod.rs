//! The cases.

pub mod backlog;
pub mod cancel;
pub mod gang;
pub mod ids;
pub mod late;
pub mod log;
pub mod wide;
