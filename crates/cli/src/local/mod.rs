//! Runs the sample load against a cell of entry host daemons and a stand-in platform, started in
//! this process or already running.
//!
//! A cell is the entry hosts and upstreams that share one store.

mod cell;
mod load_generator;
mod plan;
mod platform_probe;
mod report;
mod trial;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eyre::{Result, WrapErr};
use lagoonnotch_standin::RunChecker;

use crate::command_exit::CommandExit;
use crate::commands::{ArgumentError, CommandArguments, CommandSpec, OptionSpec};
use crate::local::cell::LocalCell;
use crate::local::load_generator::{LoadGenerator, team_limits};
use crate::local::plan::DeploymentPlan;
use crate::local::platform_probe::PlatformProbe;
use crate::local::report::LocalReport;
use crate::local::trial::{CellTrial, TrialKind, TrialTimes};

/// Default time for which the sample load is submitted, in seconds.
const DEFAULT_LOAD_SECONDS: u64 = 15;

/// Default address of the stand-in platform's store and host list.
const DEFAULT_STORE_ADDRESS: &str = "127.0.0.1:7000";

const SPEC: CommandSpec = CommandSpec {
    usage: "local --deployment bronach|deepmala [OPTIONS]",
    options: &[
        OptionSpec {
            name: "deployment",
            help: "deployment whose sample document and sizes are used",
            value: Some("NAME"),
        },
        OptionSpec {
            name: "seconds",
            help: "time for which the sample load is submitted (default 15)",
            value: Some("N"),
        },
        OptionSpec {
            name: "document",
            help: "document to use instead of the deployment's sample",
            value: Some("FILE"),
        },
        OptionSpec {
            name: "serve",
            help: "keep the cell running until interrupted",
            value: None,
        },
        OptionSpec {
            name: "trial",
            help: "change during the load: store-down, domain-out or key-withdrawn",
            value: Some("NAME"),
        },
        OptionSpec {
            name: "attach",
            help: "submit to running entry hosts instead of starting a cell",
            value: Some("IP:PORT,..."),
        },
        OptionSpec {
            name: "store",
            help: "stand-in platform of the cell to attach to (default 127.0.0.1:7000)",
            value: Some("IP:PORT"),
        },
        OptionSpec {
            name: "json",
            help: "print the report as JSON",
            value: None,
        },
    ],
    positional: 0,
};

/// Parsed options of the subcommand.
struct LocalOptions {
    plan: DeploymentPlan,
    document: String,
    duration: Duration,
    serve: bool,
    json: bool,
    trial: Option<TrialKind>,
    /// Entry hosts to attach to; if empty, a cell is started.
    attach: Vec<SocketAddr>,
    store: SocketAddr,
}

/// Runs the sample load against a cell and checks the runs that its upstreams recorded.
pub(crate) fn run(arguments: &[String]) -> CommandExit {
    let arguments = match SPEC.parse(arguments) {
        Ok(arguments) => arguments,
        Err(exit) => return exit,
    };
    let name = arguments.value("deployment").unwrap_or_default();
    let Some(plan) = DeploymentPlan::by_name(&name) else {
        eprintln!(
            "lagoonnotch: --deployment: found \"{name}\", expected bronach or deepmala\n\n{}",
            SPEC.help()
        );
        return CommandExit::Usage;
    };
    let seconds = match arguments.number("seconds", DEFAULT_LOAD_SECONDS) {
        Ok(seconds) => seconds,
        Err(error) => {
            eprintln!("lagoonnotch: {error}\n\n{}", SPEC.help());
            return CommandExit::Usage;
        }
    };
    let document = match read_document(arguments.value("document").map(PathBuf::from), &plan) {
        Ok(document) => document,
        Err(error) => {
            eprintln!("lagoonnotch: {error:#}");
            return CommandExit::Usage;
        }
    };
    let (attach, store) = match parse_addresses(&arguments) {
        Ok(addresses) => addresses,
        Err(error) => {
            eprintln!("lagoonnotch: {error}\n\n{}", SPEC.help());
            return CommandExit::Usage;
        }
    };
    let trial = arguments.value("trial");
    let kind = trial.as_deref().and_then(TrialKind::by_name);
    if trial.is_some() && kind.is_none() {
        eprintln!(
            "lagoonnotch: --trial: unknown trial, expected store-down, domain-out or key-withdrawn\n\n{}",
            SPEC.help()
        );
        return CommandExit::Usage;
    }
    let options = LocalOptions {
        trial: kind,
        plan,
        document,
        duration: Duration::from_secs(seconds),
        serve: arguments.flag("serve"),
        json: arguments.flag("json"),
        attach,
        store,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime
        .wrap_err("can't start the async runtime")
        .and_then(|runtime| runtime.block_on(run_cell(&options)));
    result.unwrap_or_else(|error| {
        eprintln!("lagoonnotch: {error:#}");
        CommandExit::Failed
    })
}

fn read_document(file: Option<PathBuf>, plan: &DeploymentPlan) -> Result<String> {
    match file {
        Some(file) => std::fs::read_to_string(&file)
            .wrap_err_with(|| format!("can't read {}", file.display())),
        None => Ok(plan.document.to_owned()),
    }
}

/// Returns the addresses of the entry hosts and the stand-in platform to attach to.
fn parse_addresses(
    arguments: &CommandArguments,
) -> Result<(Vec<SocketAddr>, SocketAddr), ArgumentError> {
    let parse = |text: &str| {
        let detail = format!("found {text}, expected an IP address and port");
        text.parse().map_err(|_| ArgumentError { detail })
    };
    let attach = arguments.value("attach").unwrap_or_default();
    let hosts = attach.split(',').filter(|text| !text.is_empty()).map(parse);
    let store = arguments
        .value("store")
        .unwrap_or_else(|| DEFAULT_STORE_ADDRESS.to_owned());
    Ok((hosts.collect::<Result<_, _>>()?, parse(&store)?))
}

async fn run_cell(options: &LocalOptions) -> Result<CommandExit> {
    if !options.attach.is_empty() {
        let report = run_load(options, &options.attach, options.store, None).await?;
        return Ok(command_exit(&report));
    }
    let cell = LocalCell::start(&options.plan.profile).await?;
    cell.submit_document(&options.document).await?;
    cell.wait_until_ready().await?;
    for host in &cell.hosts {
        eprintln!(
            "{:16} callers {} operators {}",
            host.name, host.caller_address, host.admin_address
        );
    }
    let caller_addresses: Vec<SocketAddr> =
        cell.hosts.iter().map(|host| host.caller_address).collect();
    let report = run_load(
        options,
        &caller_addresses,
        cell.platform.store_address,
        Some(&cell),
    )
    .await?;
    if options.serve {
        eprintln!("serving until interrupted");
        tokio::signal::ctrl_c().await?;
    }
    cell.shut_down().await;
    Ok(command_exit(&report))
}

/// Submits the sample load, checks the recorded runs and prints the report.
async fn run_load(
    options: &LocalOptions,
    caller_addresses: &[SocketAddr],
    store: SocketAddr,
    cell: Option<&LocalCell>,
) -> Result<LocalReport> {
    let probe = PlatformProbe::connect(store).await?;
    let load_generator = LoadGenerator::new(caller_addresses, &options.plan, &probe);
    let trial = options.trial.zip(cell).map(|(kind, cell)| CellTrial {
        kind,
        cell,
        plan: &options.plan,
        probe: &probe,
        duration: options.duration,
    });
    let changes = async {
        match &trial {
            Some(trial) => trial.run().await,
            None => Ok(TrialTimes::default()),
        }
    };
    let (results, times) = tokio::join!(load_generator.run(options.duration), changes);
    let records = probe.records().await?;
    if let Some(trial) = &trial {
        let report = trial.report(&times?, &results, &records);
        println!("{}", serde_json::to_string_pretty(&report)?);
    }
    let mut checker = RunChecker::new(&probe.hosts);
    checker.limits = team_limits(&options.document)?;
    checker.at_most_once = results.at_most_once();
    let violations = checker.check(&records);
    let gaps = probe.longest_start_gaps(&records, options.plan.workloads[0].team);
    let report = LocalReport::new(
        &results,
        &records,
        &violations,
        load_generator.measure_overhead().await,
    )
    .with_longest_gaps(gaps);
    report.print(options.json);
    Ok(report)
}

fn command_exit(report: &LocalReport) -> CommandExit {
    if report.is_clean() {
        CommandExit::Done
    } else {
        CommandExit::Failed
    }
}
