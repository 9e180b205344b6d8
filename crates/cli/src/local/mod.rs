//! A whole cell on this machine: the real daemons against small stand-ins.

mod cell;
mod driver;
mod plan;
mod report;

use std::path::PathBuf;
use std::time::Duration;

use eyre::{Result, WrapErr};
use lagoonnotch_standin::RunJudge;

use crate::command_exit::CommandExit;
use crate::commands::{CommandSpec, OptionSpec};
use crate::local::cell::LocalCell;
use crate::local::driver::{WorkDriver, team_limits};
use crate::local::plan::DeploymentPlan;
use crate::local::report::LocalReport;

/// Time for which sample work is submitted, in seconds.
const DEFAULT_SECONDS: u64 = 15;

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
            name: "json",
            help: "print the report as JSON",
            value: None,
        },
    ],
    free: 0,
};

/// What the command was asked for.
struct LocalOptions {
    plan: DeploymentPlan,
    document: String,
    time: Duration,
    serve: bool,
    json: bool,
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
    let options = LocalOptions {
        plan,
        document,
        time: Duration::from_secs(seconds),
        serve: arguments.flag("serve"),
        json: arguments.flag("json"),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime
        .wrap_err("no runtime")
        .and_then(|runtime| runtime.block_on(run_cell(options)));
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

async fn run_cell(options: LocalOptions) -> Result<CommandExit> {
    let cell = LocalCell::start(&options.plan.profile).await?;
    cell.submit_document(&options.document).await?;
    cell.wait_until_owned().await?;
    for host in &cell.hosts {
        eprintln!(
            "{:10} callers {} operators {}",
            host.name, host.caller, host.admin
        );
    }
    let driver = WorkDriver::new(&cell, &options.plan);
    let results = driver.run(options.time).await;
    let records = cell.platform.records();
    let mut judge = RunJudge::new(&cell.platform.hosts);
    judge.limits = team_limits(&options.document)?;
    judge.run_once = results.run_once();
    let verdict = judge.judge(&records);
    let report = LocalReport::new(&results, &records, &verdict, driver.overhead().await);
    report.print(options.json);
    if options.serve {
        eprintln!("serving until interrupted");
        tokio::signal::ctrl_c().await?;
    }
    let clean = report.is_clean();
    cell.shut_down().await;
    Ok(if clean {
        CommandExit::Done
    } else {
        CommandExit::Failed
    })
}
