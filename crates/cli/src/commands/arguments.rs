//! Parsing of subcommand arguments.

use std::fmt;

use getopts::{Matches, Options};

use crate::command_exit::CommandExit;

/// An option of a subcommand.
pub(crate) struct OptionSpec {
    pub name: &'static str,
    pub help: &'static str,
    /// Placeholder of the option's value in the help; `None` for a flag.
    pub value: Option<&'static str>,
}

/// Usage and options of a subcommand.
pub(crate) struct CommandSpec {
    pub usage: &'static str,
    pub options: &'static [OptionSpec],
    /// Number of positional arguments.
    pub positional: usize,
}

/// Invalid or missing arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ArgumentError {
    pub detail: String,
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.detail)
    }
}

/// Parsed arguments of a subcommand.
pub(crate) struct CommandArguments {
    matches: Matches,
}

impl CommandSpec {
    /// Parses arguments; on `--help` or invalid arguments, prints the help and returns the exit.
    pub fn parse(&self, arguments: &[String]) -> Result<CommandArguments, CommandExit> {
        let options = self.build_options();
        let usage_error = |detail: String| {
            eprintln!("lagoonnotch: {detail}\n\n{}", self.help());
            CommandExit::Usage
        };
        let matches = options
            .parse(arguments)
            .map_err(|error| usage_error(error.to_string()))?;
        if matches.opt_present("help") {
            print!("{}", self.help());
            return Err(CommandExit::Done);
        }
        if matches.free.len() != self.positional {
            return Err(usage_error(format!(
                "found {} positional arguments, expected {}",
                matches.free.len(),
                self.positional
            )));
        }
        Ok(CommandArguments { matches })
    }

    /// Returns the help text.
    pub fn help(&self) -> String {
        self.build_options()
            .usage(&format!("Usage: lagoonnotch {}", self.usage))
    }

    fn build_options(&self) -> Options {
        let mut options = Options::new();
        for option in self.options {
            match option.value {
                Some(value) => options.optopt("", option.name, option.help, value),
                None => options.optflag("", option.name, option.help),
            };
        }
        options.optflag("h", "help", "print this help");
        options
    }
}

impl CommandArguments {
    /// Returns whether a flag is present.
    pub fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// Returns an option's value.
    pub fn value(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    /// Returns the value of a required option.
    pub fn required(&self, name: &str) -> Result<String, ArgumentError> {
        self.value(name).ok_or_else(|| ArgumentError {
            detail: format!("--{name} is required"),
        })
    }

    /// Returns the number given by an option, or the default if the option is absent.
    pub fn number(&self, name: &str, default: u64) -> Result<u64, ArgumentError> {
        let Some(text) = self.value(name) else {
            return Ok(default);
        };
        let detail = format!("--{name}: found {text}, expected a whole number");
        text.parse().map_err(|_| ArgumentError { detail })
    }

    /// Returns a positional argument, or an empty string if there are fewer.
    pub fn positional(&self, index: usize) -> &str {
        self.matches.free.get(index).map_or("", String::as_str)
    }
}
