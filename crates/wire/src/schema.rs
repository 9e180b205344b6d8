//! JSON schemas that incoming JSON is validated against.

/// Schema of the API for callers.
pub const CALLER_SCHEMA: &str = include_str!("../../../schemas/caller.json");

/// Schema of the approved configuration document.
pub const DOCUMENT_SCHEMA: &str = include_str!("../../../schemas/document.json");

/// Schema of the daemon's settings.
pub const SETTINGS_SCHEMA: &str = include_str!("../../../schemas/settings.json");
