//! Command line for callers and operators.

mod api_client;
mod command_exit;
mod commands;
mod local;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn,tarpc=error"))
        .init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    commands::run(&arguments).into()
}
