//! Exit codes of the command line.

use std::process::ExitCode;

use lagoonnotch_wire::caller::{ProblemBody, WorkOutcome};

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CommandExit {
    /// It was carried out.
    Done,
    /// It was refused or failed.
    Failed,
    /// Its arguments are wrong.
    Usage,
    /// It is not known whether it took effect.
    Unknown,
}

impl From<CommandExit> for ExitCode {
    fn from(exit: CommandExit) -> Self {
        match exit {
            CommandExit::Done => Self::SUCCESS,
            CommandExit::Failed => Self::from(1),
            CommandExit::Usage => Self::from(2),
            CommandExit::Unknown => Self::from(3),
        }
    }
}

impl From<&ProblemBody> for CommandExit {
    fn from(problem: &ProblemBody) -> Self {
        match problem.outcome {
            WorkOutcome::Unknown => Self::Unknown,
            WorkOutcome::NotRun | WorkOutcome::Done => Self::Failed,
        }
    }
}
