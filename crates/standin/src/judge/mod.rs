//! Judgement of what upstreams ran.

mod run_judge;

pub use run_judge::{RunJudge, RunVerdict};
