//! Subcommand that creates keys for approvers and callers.

use lagoonnotch::admission::key_digest;
use lagoonnotch::document::encode_hex;

use crate::command_exit::CommandExit;
use crate::commands::{CommandSpec, OptionSpec};

const SPEC: CommandSpec = CommandSpec {
    usage: "key new [OPTIONS]",
    options: &[OptionSpec {
        name: "approver",
        help: "create a key pair for signing documents",
        value: None,
    }],
    positional: 1,
};

/// Creates a key and prints it.
pub(super) fn run(arguments: &[String]) -> CommandExit {
    let arguments = match SPEC.parse(arguments) {
        Ok(arguments) => arguments,
        Err(exit) => return exit,
    };
    if arguments.positional(0) != "new" {
        eprintln!(
            "lagoonnotch: unknown command: key {}\n\n{}",
            arguments.positional(0),
            SPEC.help()
        );
        return CommandExit::Usage;
    }
    if arguments.flag("approver") {
        let key = super::document::new_signing_key();
        println!("secret {}", encode_hex(key.as_bytes()));
        println!("public {}", encode_hex(key.verifying_key().as_bytes()));
    } else {
        // An API key is 32 random bytes, in hexadecimal.
        let key = encode_hex(super::document::new_signing_key().as_bytes());
        println!("key    {key}");
        println!("sha256 {}", key_digest(&key));
    }
    CommandExit::Done
}
