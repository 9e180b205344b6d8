//! Subcommand that checks, signs and submits documents.

use ed25519_dalek::SigningKey;
use eyre::{Result, WrapErr, eyre};
use hyper::Method;
use lagoonnotch::document::{decode_hex, parse_document, sign_document};
use lagoonnotch_wire::document::DocumentAccepted;

use crate::api_client::{ApiCall, ApiClient};
use crate::command_exit::CommandExit;
use crate::commands::caller::block_on;
use crate::commands::output::print_problem;
use crate::commands::{CommandArguments, CommandSpec, OptionSpec};

/// Default administration address of an entry host.
const DEFAULT_ADMIN_ADDRESS: &str = "127.0.0.1:7403";

const SPEC: CommandSpec = CommandSpec {
    usage: "document check|sign|submit FILE [OPTIONS]",
    options: &[
        OptionSpec {
            name: "secret",
            help: "file with the approver's secret key",
            value: Some("FILE"),
        },
        OptionSpec {
            name: "admin",
            help: "administration address of an entry host (default 127.0.0.1:7403)",
            value: Some("IP:PORT"),
        },
        OptionSpec {
            name: "json",
            help: "print JSON",
            value: None,
        },
    ],
    positional: 2,
};

/// Creates a random Ed25519 signing key; its generator is seeded from the system's random source.
pub(crate) fn new_signing_key() -> SigningKey {
    SigningKey::from_bytes(&rand::random())
}

/// Checks, signs or submits a document file.
pub(super) fn run(arguments: &[String]) -> CommandExit {
    let arguments = match SPEC.parse(arguments) {
        Ok(arguments) => arguments,
        Err(exit) => return exit,
    };
    let file = arguments.positional(1);
    let result = match arguments.positional(0) {
        "check" => read(file).map(|text| check(file, &text)),
        "sign" => read(file).and_then(|text| sign(&arguments, file, &text)),
        "submit" => read(file).map(|text| submit(&arguments, text)),
        other => {
            eprintln!(
                "lagoonnotch: unknown command: document {other}\n\n{}",
                SPEC.help()
            );
            return CommandExit::Usage;
        }
    };
    result.unwrap_or_else(|error| {
        eprintln!("lagoonnotch: {error:#}");
        CommandExit::Usage
    })
}

fn read(file: &str) -> Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("can't read {file}"))
}

fn check(file: &str, text: &str) -> CommandExit {
    match parse_document(text) {
        Ok(_) => {
            println!("{file}: no findings");
            CommandExit::Done
        }
        Err(findings) => {
            eprintln!("{file}: {findings}");
            CommandExit::Failed
        }
    }
}

fn sign(arguments: &CommandArguments, file: &str, text: &str) -> Result<CommandExit> {
    if check(file, text) != CommandExit::Done {
        return Ok(CommandExit::Failed);
    }
    let secret_file = arguments
        .required("secret")
        .map_err(|error| eyre!("{error}"))?;
    let secret = decode_hex::<32>(read(&secret_file)?.trim())
        .ok_or_else(|| eyre!("{secret_file} does not contain a secret key"))?;
    let signed = sign_document(text, &SigningKey::from_bytes(&secret));
    let target = format!("{file}.signed");
    std::fs::write(&target, serde_json::to_string_pretty(&signed)?)?;
    println!("wrote {target}");
    Ok(CommandExit::Done)
}

fn submit(arguments: &CommandArguments, text: String) -> CommandExit {
    let admin = arguments
        .value("admin")
        .unwrap_or_else(|| DEFAULT_ADMIN_ADDRESS.to_owned());
    let call = ApiCall::new(Method::POST, "/v1/documents").body(text);
    let result = block_on(async { ApiClient::new(admin).call(call).await });
    match result.and_then(|response| response.parse::<DocumentAccepted>()) {
        Ok(accepted) => {
            println!(
                "{} is in force as revision {}",
                accepted.document, accepted.revision
            );
            CommandExit::Done
        }
        Err(problem) => print_problem(&problem, arguments.flag("json")),
    }
}
