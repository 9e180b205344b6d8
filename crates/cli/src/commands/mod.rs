//! The subcommands.

mod arguments;
mod caller;
mod document;
mod explain;
mod keys;
mod output;

use std::fmt::Write;

use crate::command_exit::CommandExit;
use crate::local;

pub(crate) use arguments::{ArgumentError, CommandArguments, CommandSpec, OptionSpec};
pub(crate) use document::new_signing_key;

/// A subcommand.
struct Command {
    name: &'static str,
    summary: &'static str,
    run: fn(&[String]) -> CommandExit,
}

/// All subcommands, in the order of the overview.
const COMMANDS: &[Command] = &[
    Command {
        name: "request",
        summary: "run a quick request and print its answer",
        run: caller::request,
    },
    Command {
        name: "submit",
        summary: "submit a job",
        run: caller::submit,
    },
    Command {
        name: "show",
        summary: "show the state of a job",
        run: caller::show,
    },
    Command {
        name: "answer",
        summary: "print the answer of a job's task",
        run: caller::answer,
    },
    Command {
        name: "cancel",
        summary: "cancel a job",
        run: caller::cancel,
    },
    Command {
        name: "status",
        summary: "show the cell as one entry host sees it",
        run: caller::status,
    },
    Command {
        name: "document",
        summary: "check, sign and submit documents",
        run: document::run,
    },
    Command {
        name: "key",
        summary: "create keys for approvers and callers",
        run: keys::run,
    },
    Command {
        name: "explain",
        summary: "show the timeline of a request from the logs of all hosts",
        run: explain::run,
    },
    Command {
        name: "local",
        summary: "run a whole cell on this machine",
        run: local::run,
    },
];

/// Runs the subcommand named by the first argument.
pub(crate) fn run(arguments: &[String]) -> CommandExit {
    match arguments.first().map(String::as_str) {
        None => {
            eprint!("{}", overview());
            CommandExit::Usage
        }
        Some("-h" | "--help" | "help") => {
            print!("{}", overview());
            CommandExit::Done
        }
        Some("-V" | "--version") => {
            println!("lagoonnotch {}", env!("CARGO_PKG_VERSION"));
            CommandExit::Done
        }
        Some(name) => {
            if let Some(command) = COMMANDS.iter().find(|command| command.name == name) {
                (command.run)(&arguments[1..])
            } else {
                eprintln!("lagoonnotch: unknown command: {name}\n\n{}", overview());
                CommandExit::Usage
            }
        }
    }
}

/// Returns the help text of the whole command line.
fn overview() -> String {
    let mut text = String::from("Usage: lagoonnotch COMMAND [OPTIONS]\n\nCommands:\n");
    for command in COMMANDS {
        let _ = writeln!(text, "  {:10} {}", command.name, command.summary);
    }
    text.push_str(
        "\nOptions:\n  -h, --help     print this help; COMMAND --help explains a command\n",
    );
    text.push_str("  -V, --version  print the version\n\n");
    text.push_str("Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 outcome unknown\n");
    text
}

#[cfg(test)]
mod tests;
