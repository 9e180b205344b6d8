//! Trials of the review: each starts a small deployment on loopback addresses, brings about one
//! disruption, and judges one rule by what clients and workers have seen.
//!
//! Usage: `review-standin-2 TRIAL FOLDER`. `TROUBLE=0` leaves the disruption out. Exits with 0 if
//! the rule held, 1 if it was broken, and 2 if the trial could not run.

mod cell;
mod http;
mod json;
mod record;
mod store;
mod trials;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Longest time of a trial. `run.sh` ends the daemons that are left then.
const TRIAL_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, trial, folder] = &arguments[..] else {
        eprintln!("usage: review-standin-2 TRIAL FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let program = std::env::var("LAGOONNOTCH_HOST");
    let program = program.unwrap_or_else(|_| "target/release/lagoonnotch-host".to_owned());
    std::thread::spawn(|| {
        std::thread::sleep(TRIAL_LIMIT);
        println!("could not run: not over within {} s", TRIAL_LIMIT.as_secs());
        std::process::exit(2);
    });
    let outcome = trials::run(trial, Path::new(folder), &program, trouble);
    match outcome {
        Ok(broken) if broken.is_empty() => {
            println!("{trial}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken {
                println!("{line}");
            }
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("{trial}: could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
