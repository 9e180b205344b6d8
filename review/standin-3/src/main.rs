//! Runs one case of the third review.
//!
//! Usage: `review-standin-3 CASE HOST-PROGRAM FOLDER RECORD`, with `TROUBLE=0` for no disruption.
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#![allow(dead_code, reason = "each case needs other parts of the stand-ins")]

mod cases;
mod cell;
mod client;
mod http;
mod proxy;
mod record;
mod worker;

use std::process::ExitCode;
use std::time::Duration;

use eyre::{Result, bail};

use crate::cell::{CellSpec, LogTarget, existing};
use crate::record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

impl Verdict {
    fn broken_if(is_broken: bool) -> Self {
        if is_broken { Self::Broken } else { Self::Held }
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 3)]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|name| name == "collect") {
        return match std::io::copy(&mut std::io::stdin().lock(), &mut std::io::stdout().lock()) {
            Ok(_) => ExitCode::SUCCESS,
            Err(_) => ExitCode::FAILURE,
        };
    }
    let limit = Duration::from_secs(114);
    let outcome = tokio::time::timeout(limit, run(&arguments)).await;
    match outcome {
        Ok(Ok(Verdict::Held)) => ExitCode::SUCCESS,
        Ok(Ok(Verdict::Broken)) => ExitCode::from(1),
        Ok(Err(error)) => {
            println!("could not run: {error:#}");
            ExitCode::from(2)
        }
        Err(_) => {
            println!("could not run: it did not end in time");
            ExitCode::from(2)
        }
    }
}

async fn run(arguments: &[String]) -> Result<Verdict> {
    let [_, case, program, folder, record] = arguments else {
        bail!("usage: review-standin-3 CASE HOST-PROGRAM FOLDER RECORD");
    };
    let spec = CellSpec {
        program: existing(program)?,
        folder: folder.into(),
        workers: 6,
        worker_cpu: 32_000,
        log: LogTarget::File,
        knows_gangs: false,
        id_suffix: "",
    };
    let record = Record::create(record.as_ref())?;
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match case.as_str() {
        "log" => cases::log::run(spec, record, has_trouble).await,
        "backlog" => cases::backlog::run(spec, record, has_trouble).await,
        "ids" => cases::ids::run(spec, record, has_trouble).await,
        "cancel" => cases::cancel::run(spec, record, has_trouble).await,
        "late" => cases::late::run(spec, record, has_trouble).await,
        "wide" => cases::wide::run(spec, record, has_trouble).await,
        "gang" => cases::gang::run(spec, record, has_trouble).await,
        _ => bail!("no case {case}"),
    }
}
