//! The daemon of one entry host.

use std::process::ExitCode;

use eyre::{Result, WrapErr};
use getopts::Options;
use lagoonnotch::daemon::{HostDaemon, HostListeners};
use lagoonnotch::settings::{HostSettings, parse_settings};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid settings or arguments.
const USAGE_EXIT: u8 = 2;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info,tarpc=warn"))
        .init();
    let settings = match read_settings() {
        Ok(Some(settings)) => settings,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lagoonnotchd: {error:#}");
            return ExitCode::from(USAGE_EXIT);
        }
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lagoonnotchd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and checks the settings; returns `None` after printing the help or the version.
fn read_settings() -> Result<Option<HostSettings>> {
    let mut options = Options::new();
    options.optopt("", "settings", "settings file of this entry host", "FILE");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: lagoonnotchd --settings FILE"));
        return Ok(None);
    }
    if matches.opt_present("version") {
        println!("lagoonnotchd {}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    let file = matches
        .opt_str("settings")
        .ok_or_else(|| eyre::eyre!("--settings FILE is required"))?;
    let text = std::fs::read_to_string(&file).wrap_err_with(|| format!("can't read {file}"))?;
    let settings = parse_settings(&text).map_err(|findings| eyre::eyre!("{file}: {findings}"))?;
    Ok(Some(settings))
}

#[tokio::main]
async fn serve(settings: HostSettings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listeners = HostListeners::bind(&settings).await?;
    let daemon = HostDaemon::start(settings, listeners)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.shut_down().await;
    Ok(())
}
