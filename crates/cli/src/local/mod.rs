//! A whole cell on this machine: the real daemons against small stand-ins.

mod cell;
mod driver;
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
use crate::local::driver::{WorkDriver, team_limits};
use crate::local::plan::DeploymentPlan;
use crate::local::platform_probe::PlatformProbe;
use crate::local::report::LocalReport;
use crate::local::trial::{CellTrial, TrialKind, TrialTimes};

/// Time for which sample work is submitted, in seconds.
const DEFAULT_SECONDS: u64 = 15;

/// Address of the stand-in platform unless another is given.
const DEFAULT_STORE: &str = "127.0.0.1:7000";

const SPEC: CommandSpec = CommandSpec {
    usage: "local --deployment bronach|deepmala [OPTIONS]",
    options: &[
        OptionSpec {
            name: "deployment",
            help: "whose sample document and sizes to use",
            value: Some("NAME"),
        },
        OptionSpec {
            name: "seconds",
            help: "time for which work is submitted (default 15)",
            value: Some("N"),
        },
        OptionSpec {
            name: "document",
            help: "another document than the deployment's sample",
            value: Some("FILE"),
        },
        OptionSpec {
            name: "serve",
            help: "go on serving until interrupted",
            value: None,
        },
        OptionSpec {
            name: "trial",
            help: "store-down, domain-out or key-withdrawn during the run",
            value: Some("NAME"),
        },
        OptionSpec {
            name: "attach",
            help: "submit to entry hosts that run already, instead of starting a cell",
            value: Some("IP:PORT,..."),
        },
        OptionSpec {
            name: "store",
            help: "the stand-in platform of the cell to attach to (default 127.0.0.1:7000)",
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

/// What the command was asked for.
struct LocalOptions {
    plan: DeploymentPlan,
    document: String,
    time: Duration,
    serve: bool,
    json: bool,
    trial: Option<TrialKind>,
    /// Entry hosts to attach to; none starts a cell.
    attach: Vec<SocketAddr>,
    store: SocketAddr,
}

/// Runs a cell and judges it by what its upstreams ran.
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
    let seconds = match arguments.number("seconds", DEFAULT_SECONDS) {
        Ok(seconds) => seconds,
        Err(fault) => {
            eprintln!("lagoonnotch: {fault}\n\n{}", SPEC.help());
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
    let (attach, store) = match attach_addresses(&arguments) {
        Ok(addresses) => addresses,
        Err(fault) => {
            eprintln!("lagoonnotch: {fault}\n\n{}", SPEC.help());
            return CommandExit::Usage;
        }
    };
    let trial = arguments.value("trial");
    let kind = trial.as_deref().and_then(TrialKind::by_name);
    if trial.is_some() && kind.is_none() {
        eprintln!(
            "lagoonnotch: --trial: found no known trial\n\n{}",
            SPEC.help()
        );
        return CommandExit::Usage;
    }
    let options = LocalOptions {
        trial: kind,
        plan,
        document,
        time: Duration::from_secs(seconds),
        serve: arguments.flag("serve"),
        json: arguments.flag("json"),
        attach,
        store,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime
        .wrap_err("no runtime")
        .and_then(|runtime| runtime.block_on(run_options(&options)));
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

/// Returns the entry hosts and the stand-in to attach to.
fn attach_addresses(
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
        .unwrap_or_else(|| DEFAULT_STORE.to_owned());
    Ok((hosts.collect::<Result<_, _>>()?, parse(&store)?))
}

async fn run_options(options: &LocalOptions) -> Result<CommandExit> {
    if !options.attach.is_empty() {
        let report = run_work(options, &options.attach, options.store, None).await?;
        return Ok(exit_of(&report));
    }
    let cell = LocalCell::start(&options.plan.profile).await?;
    cell.submit_document(&options.document).await?;
    cell.wait_until_owned().await?;
    for host in &cell.hosts {
        eprintln!(
            "{:16} callers {} operators {}",
            host.name, host.caller, host.admin
        );
    }
    let callers: Vec<SocketAddr> = cell.hosts.iter().map(|host| host.caller).collect();
    let report = run_work(options, &callers, cell.platform.store_address, Some(&cell)).await?;
    if options.serve {
        eprintln!("serving until interrupted");
        tokio::signal::ctrl_c().await?;
    }
    cell.shut_down().await;
    Ok(exit_of(&report))
}

/// Submits the sample work and judges what came of it.
async fn run_work(
    options: &LocalOptions,
    callers: &[SocketAddr],
    store: SocketAddr,
    cell: Option<&LocalCell>,
) -> Result<LocalReport> {
    let probe = PlatformProbe::connect(store).await?;
    let driver = WorkDriver::new(callers, &options.plan, &probe);
    let trial = options.trial.zip(cell).map(|(kind, cell)| CellTrial {
        kind,
        cell,
        plan: &options.plan,
        probe: &probe,
        time: options.time,
    });
    let changes = async {
        match &trial {
            Some(trial) => trial.run().await,
            None => Ok(TrialTimes::default()),
        }
    };
    let (results, times) = tokio::join!(driver.run(options.time), changes);
    let records = probe.records().await?;
    if let Some(trial) = &trial {
        let report = trial.report(&times?, &results, &records);
        println!("{}", serde_json::to_string_pretty(&report)?);
    }
    let mut checker = RunChecker::new(&probe.hosts);
    checker.limits = team_limits(&options.document)?;
    checker.at_most_once = results.run_once();
    let verdict = checker.check(&records);
    let gaps = probe.longest_gaps(&records, options.plan.workloads[0].team);
    let report =
        LocalReport::new(&results, &records, &verdict, driver.overhead().await).with_gaps(gaps);
    report.print(options.json);
    Ok(report)
}

fn exit_of(report: &LocalReport) -> CommandExit {
    if report.is_clean() {
        CommandExit::Done
    } else {
        CommandExit::Failed
    }
}
