//! Subcommands of callers: requests, jobs and the status of the cell.

use std::future::Future;
use std::io::Write;

use hyper::Method;
use lagoonnotch_wire::caller::{CellStatus, JobAccepted, JobStatus, JobSubmission, ProblemBody};

use crate::api_client::{ApiCall, ApiClient, ApiResponse};
use crate::command_exit::CommandExit;
use crate::commands::output::{print_json, print_problem};
use crate::commands::{ArgumentError, CommandArguments, CommandSpec, OptionSpec};

/// Default caller address of an entry host.
const DEFAULT_CALLER_ADDRESS: &str = "127.0.0.1:7401";

const HOST: OptionSpec = OptionSpec {
    name: "host",
    help: "address of an entry host (default 127.0.0.1:7401)",
    value: Some("IP:PORT"),
};
const KEY: OptionSpec = OptionSpec {
    name: "key",
    help: "API key of the team (default: the environment variable LAGOONNOTCH_KEY)",
    value: Some("KEY"),
};
const JSON: OptionSpec = OptionSpec {
    name: "json",
    help: "print JSON",
    value: None,
};
const ID: OptionSpec = OptionSpec {
    name: "id",
    help: "idempotency key; repeating it does not submit again",
    value: Some("ID"),
};
const WORKLOAD: OptionSpec = OptionSpec {
    name: "workload",
    help: "name of the workload",
    value: Some("NAME"),
};
const PAYLOAD: OptionSpec = OptionSpec {
    name: "payload",
    help: "input of the request or job",
    value: Some("TEXT"),
};

/// Sends a quick request and prints its answer.
pub(super) fn request(arguments: &[String]) -> CommandExit {
    const SPEC: CommandSpec = CommandSpec {
        usage: "request --workload NAME [OPTIONS]",
        options: &[
            HOST,
            KEY,
            JSON,
            ID,
            WORKLOAD,
            PAYLOAD,
            OptionSpec {
                name: "non-idempotent",
                help: "run the request at most once",
                value: None,
            },
            OptionSpec {
                name: "deadline-ms",
                help: "time limit for the answer, in milliseconds",
                value: Some("MS"),
            },
        ],
        positional: 0,
    };
    run_call(
        &SPEC,
        arguments,
        |arguments| {
            let path = format!("/v1/requests?workload={}", arguments.required("workload")?);
            let mut call = ApiCall::new(Method::POST, path)
                .body(arguments.value("payload").unwrap_or_default());
            if arguments.flag("non-idempotent") {
                call = call.header("lagoonnotch-non-idempotent", "true");
            }
            if let Some(id) = arguments.value("id") {
                call = call.header("idempotency-key", id);
            }
            if let Some(deadline) = arguments.value("deadline-ms") {
                call = call.header("lagoonnotch-deadline-ms", deadline);
            }
            Ok(call)
        },
        |response, _| {
            print_body(response);
            Ok(())
        },
    )
}

/// Submits a job and prints its identifier.
pub(super) fn submit(arguments: &[String]) -> CommandExit {
    const SPEC: CommandSpec = CommandSpec {
        usage: "submit --workload NAME [OPTIONS]",
        options: &[
            HOST,
            KEY,
            JSON,
            ID,
            WORKLOAD,
            PAYLOAD,
            OptionSpec {
                name: "tasks",
                help: "number of tasks (default 1)",
                value: Some("N"),
            },
        ],
        positional: 0,
    };
    run_call(
        &SPEC,
        arguments,
        |arguments| {
            let tasks = arguments.number("tasks", 1)?;
            let submission = JobSubmission {
                payload: arguments.value("payload").unwrap_or_default(),
                size: None,
                tasks: u32::try_from(tasks).unwrap_or(u32::MAX),
                team: None,
                workload: arguments.required("workload")?,
            };
            let call = ApiCall::new(Method::POST, "/v1/jobs").json(&submission);
            Ok(match arguments.value("id") {
                Some(id) => call.header("idempotency-key", id),
                None => call,
            })
        },
        |response, json| {
            let accepted: JobAccepted = response.parse()?;
            if json {
                print_json(&accepted);
            } else {
                println!("{}", accepted.id);
            }
            Ok(())
        },
    )
}

/// Prints the state of a job.
pub(super) fn show(arguments: &[String]) -> CommandExit {
    const SPEC: CommandSpec = CommandSpec {
        usage: "show JOB [OPTIONS]",
        options: &[HOST, KEY, JSON],
        positional: 1,
    };
    run_call(
        &SPEC,
        arguments,
        |arguments| Ok(job_call(Method::GET, arguments, "")),
        print_job_status,
    )
}

/// Prints the answer of a job's task.
pub(super) fn answer(arguments: &[String]) -> CommandExit {
    const SPEC: CommandSpec = CommandSpec {
        usage: "answer JOB [OPTIONS]",
        options: &[
            HOST,
            KEY,
            JSON,
            OptionSpec {
                name: "task",
                help: "index of the task (default 0)",
                value: Some("N"),
            },
        ],
        positional: 1,
    };
    run_call(
        &SPEC,
        arguments,
        |arguments| {
            let task = arguments.number("task", 0)?;
            Ok(job_call(
                Method::GET,
                arguments,
                &format!("/answer?task={task}"),
            ))
        },
        |response, _| {
            print_body(response);
            Ok(())
        },
    )
}

/// Cancels a job and prints its state.
pub(super) fn cancel(arguments: &[String]) -> CommandExit {
    const SPEC: CommandSpec = CommandSpec {
        usage: "cancel JOB [OPTIONS]",
        options: &[HOST, KEY, JSON],
        positional: 1,
    };
    run_call(
        &SPEC,
        arguments,
        |arguments| Ok(job_call(Method::DELETE, arguments, "")),
        print_job_status,
    )
}

/// Prints the status of the cell as one entry host reports it.
pub(super) fn status(arguments: &[String]) -> CommandExit {
    const SPEC: CommandSpec = CommandSpec {
        usage: "status [OPTIONS]",
        options: &[HOST, KEY, JSON],
        positional: 0,
    };
    run_call(
        &SPEC,
        arguments,
        |_| Ok(ApiCall::new(Method::GET, "/v1/status")),
        |response, json| {
            let status: CellStatus = response.parse()?;
            if json {
                print_json(&status);
            } else {
                print_cell_status(&status);
            }
            Ok(())
        },
    )
}

/// Parses the arguments, sends the call built from them and prints its response.
fn run_call(
    spec: &CommandSpec,
    arguments: &[String],
    build_call: impl Fn(&CommandArguments) -> Result<ApiCall, ArgumentError>,
    print_response: impl Fn(&ApiResponse, bool) -> Result<(), Box<ProblemBody>>,
) -> CommandExit {
    let arguments = match spec.parse(arguments) {
        Ok(arguments) => arguments,
        Err(exit) => return exit,
    };
    let call = match build_call(&arguments) {
        Ok(call) => call.key(&caller_key(&arguments)),
        Err(error) => {
            eprintln!("lagoonnotch: {error}\n\n{}", spec.help());
            return CommandExit::Usage;
        }
    };
    let host = arguments
        .value("host")
        .unwrap_or_else(|| DEFAULT_CALLER_ADDRESS.to_owned());
    let json = arguments.flag("json");
    let result = block_on(async { ApiClient::new(host).call(call).await });
    match result.and_then(|response| print_response(&response, json)) {
        Ok(()) => CommandExit::Done,
        Err(problem) => print_problem(&problem, json),
    }
}

/// Runs a future to completion on a new runtime.
pub(super) fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.expect("the async runtime starts").block_on(future)
}

/// Returns the API key from the arguments or the environment, or an empty one.
fn caller_key(arguments: &CommandArguments) -> String {
    arguments
        .value("key")
        .or_else(|| std::env::var("LAGOONNOTCH_KEY").ok())
        .unwrap_or_default()
}

fn job_call(method: Method, arguments: &CommandArguments, rest: &str) -> ApiCall {
    ApiCall::new(
        method,
        format!("/v1/jobs/{}{rest}", arguments.positional(0)),
    )
}

fn print_job_status(response: &ApiResponse, json: bool) -> Result<(), Box<ProblemBody>> {
    let status: JobStatus = response.parse()?;
    if json {
        print_json(&status);
        return Ok(());
    }
    println!(
        "{} {} of team {}: {}",
        status.id, status.workload, status.team, status.state
    );
    println!(
        "  {} tasks: {} waiting, {} running, {} finished, {} failed, {} unknown",
        status.tasks,
        status.waiting,
        status.running,
        status.finished,
        status.failed,
        status.unknown
    );
    if let Some(reason) = &status.reason {
        println!("  {reason}");
    }
    Ok(())
}

fn print_cell_status(status: &CellStatus) {
    println!(
        "{} has document revision {} in force",
        status.host, status.document_revision
    );
    for member in &status.members {
        let owns = member.owns.as_deref().unwrap_or("-");
        println!(
            "  {:16} {:12} heard {:5} ms ago, revision {}, owns {owns}",
            member.host, member.failure_domain, member.heard_ms_ago, member.document_revision
        );
    }
}

/// Prints the body to standard output and the request's identifier to standard error.
fn print_body(response: &ApiResponse) {
    let _ = std::io::stdout().write_all(&response.body);
    println!();
    if let Some(id) = &response.request_id {
        eprintln!("request {id}");
    }
}
