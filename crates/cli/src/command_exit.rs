//! Exit codes of the command line.

use std::process::ExitCode;

use lagoonnotch_wire::caller::{ProblemBody, WorkOutcome};

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CommandExit {
    /// The command succeeded.
    Done,
    /// The command was refused or failed, or `explain` can't read its log file.
    Failed,
    /// The arguments, or other files that they name, can't be used.
    Usage,
    /// It is unknown whether the command took effect.
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
