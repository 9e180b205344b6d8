//! Validation errors of an input, each with its location, reported together.

mod finding_list;
mod schema_check;

pub use finding_list::{Finding, FindingList};
pub use schema_check::SchemaCheck;
