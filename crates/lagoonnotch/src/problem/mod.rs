//! Error responses for callers, as `application/problem+json`.

mod problem_code;
mod problem_report;

pub use problem_code::ProblemCode;
pub use problem_report::ProblemReport;
