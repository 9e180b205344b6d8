//! Arguments of subcommands.

use std::fmt;

use getopts::{Matches, Options};

use crate::command_exit::CommandExit;

/// An option of a subcommand.
pub(crate) struct OptionSpec {
    pub name: &'static str,
    pub help: &'static str,
    /// Name of the option's value; none for a flag.
    pub value: Option<&'static str>,
}

/// A subcommand's usage.
pub(crate) struct CommandSpec {
    pub usage: &'static str,
    pub options: &'static [OptionSpec],
    /// Number of arguments that are not options.
    pub free: usize,
}

/// Arguments that can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ArgumentFault {
    pub detail: String,
}

impl fmt::Display for ArgumentFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.detail)
    }
}

/// Parsed arguments of a subcommand.
pub(crate) struct CommandArguments {
    matches: Matches,
}

impl CommandSpec {
    /// Parses arguments, or prints help or the fault and returns how the command ends.
    pub fn parse(&self, arguments: &[String]) -> Result<CommandArguments, CommandExit> {
        let options = self.build();
        let fault = |detail: String| {
            eprintln!("lagoonnotch: {detail}\n\n{}", self.help());
            CommandExit::Usage
        };
        let matches = options
            .parse(arguments)
            .map_err(|error| fault(error.to_string()))?;
        if matches.opt_present("help") {
            print!("{}", self.help());
            return Err(CommandExit::Done);
        }
        if matches.free.len() != self.free {
            return Err(fault(format!(
                "found {} arguments, expected {}",
                matches.free.len(),
                self.free
            )));
        }
        Ok(CommandArguments { matches })
    }

    /// Returns the help text.
    pub fn help(&self) -> String {
        self.build()
            .usage(&format!("Usage: lagoonnotch {}", self.usage))
    }

    fn build(&self) -> Options {
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
    /// Tells whether a flag is present.
    pub fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// Returns an option's value.
    pub fn value(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    /// Returns the value of an option that must be present.
    pub fn required(&self, name: &str) -> Result<String, ArgumentFault> {
        self.value(name).ok_or_else(|| ArgumentFault {
            detail: format!("--{name} is missing"),
        })
    }

    /// Returns a number, or the default when the option is missing.
    pub fn number(&self, name: &str, default: u64) -> Result<u64, ArgumentFault> {
        let Some(text) = self.value(name) else {
            return Ok(default);
        };
        let detail = format!("--{name}: found {text}, expected a whole number");
        text.parse().map_err(|_| ArgumentFault { detail })
    }

    /// Returns an argument that is not an option.
    pub fn free(&self, index: usize) -> &str {
        self.matches.free.get(index).map_or("", String::as_str)
    }
}
