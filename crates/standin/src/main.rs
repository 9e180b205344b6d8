//! Serves the stand-in platform of one deployment.

use std::net::SocketAddr;
use std::process::ExitCode;

use eyre::{Result, bail, eyre};
use getopts::Options;
use lagoonnotch_standin::{PlatformProfile, StandinPlatform};

/// Default address of the store and the host list.
const DEFAULT_STORE_ADDRESS: &str = "127.0.0.1:7000";

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match serve_platform() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lagoonnotch-standin: {error:#}");
            ExitCode::from(2)
        }
    }
}

#[tokio::main]
async fn serve_platform() -> Result<()> {
    let mut options = Options::new();
    options.optopt("", "deployment", "bronach or deepmala", "NAME");
    options.optopt(
        "",
        "store",
        "address of the store and the host list",
        "IP:PORT",
    );
    options.optflag("h", "help", "print this help");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage("Usage: lagoonnotch-standin --deployment NAME [--store IP:PORT]")
        );
        return Ok(());
    }
    let Some(name) = matches.opt_str("deployment") else {
        bail!("--deployment is required: bronach or deepmala");
    };
    let profile = PlatformProfile::by_name(&name)
        .ok_or_else(|| eyre!("unknown deployment {name}, expected bronach or deepmala"))?;
    let address: SocketAddr = matches
        .opt_str("store")
        .unwrap_or_else(|| DEFAULT_STORE_ADDRESS.to_owned())
        .parse()?;
    let platform = StandinPlatform::start(&profile, address).await?;
    println!("store and host list on {}", platform.store_address);
    for host in &platform.hosts {
        println!("{} {} {}", host.name, host.failure_domain, host.address);
    }
    platform.wait().await;
    Ok(())
}
