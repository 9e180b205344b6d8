//! Subcommand that reconstructs the timeline of a request from logs.

use std::fs::read_to_string;
use std::io::read_to_string as read_all;

use lagoonnotch_host::explain::build_timeline;

use crate::command_exit::CommandExit;
use crate::commands::CommandSpec;

const SPEC: CommandSpec = CommandSpec {
    usage: "explain ID FILE\n\nFILE contains the logs of all hosts in any order; - reads standard input.",
    options: &[],
    positional: 2,
};

/// Prints the timeline of one request; fails if the logs don't mention it.
pub(super) fn run(arguments: &[String]) -> CommandExit {
    let arguments = match SPEC.parse(arguments) {
        Ok(arguments) => arguments,
        Err(exit) => return exit,
    };
    let (request, file) = (arguments.positional(0), arguments.positional(1));
    let logs = match file {
        "-" => read_all(std::io::stdin()),
        file => read_to_string(file),
    };
    let logs = match logs {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("lagoonnotch: can't read {file}: {error}");
            return CommandExit::Failed;
        }
    };
    let timeline = build_timeline(request, logs.lines().map(str::to_owned));
    println!("{timeline}");
    if timeline.entries.is_empty() {
        CommandExit::Failed
    } else {
        CommandExit::Done
    }
}
