//! Output shared by the subcommands.

use std::fmt::Write;

use lagoonnotch_wire::caller::ProblemBody;

use crate::command_exit::CommandExit;

/// Prints a problem as text or JSON and returns the exit that its outcome implies.
pub(super) fn print_problem(problem: &ProblemBody, json: bool) -> CommandExit {
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(problem).unwrap_or_default()
        );
    } else {
        eprintln!("{}", problem_text(problem));
    }
    CommandExit::from(problem)
}

/// Returns a problem as text.
pub(super) fn problem_text(problem: &ProblemBody) -> String {
    let mut text = format!("{} ({}): {}", problem.code, problem.outcome, problem.detail);
    if let Some(id) = &problem.id {
        let _ = write!(text, "\n  id {id}");
    }
    if let Some(retry_after_ms) = problem.retry_after_ms {
        let _ = write!(text, "\n  retry after {retry_after_ms} ms");
    }
    text
}

/// Prints a value as JSON.
pub(super) fn print_json<T: serde::Serialize>(value: &T) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
