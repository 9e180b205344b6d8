//! Commands of callers.

use std::future::Future;
use std::io::Write;

use hyper::Method;
use lagoonnotch_wire::caller::{CellStatus, JobAccepted, JobStatus, JobSubmission, ProblemBody};

use crate::api_client::{ApiAnswer, ApiCall, ApiClient};
use crate::command_exit::CommandExit;
use crate::commands::output::{print_json, print_problem};
use crate::commands::{ArgumentFault, CommandArguments, CommandSpec, OptionSpec};

/// Address of an entry host unless another is given.
const DEFAULT_HOST: &str = "127.0.0.1:7401";

const HOST: OptionSpec = OptionSpec {
    name: "host",
    help: "an entry host (default 127.0.0.1:7401)",
    value: Some("IP:PORT"),
};
const KEY: OptionSpec = OptionSpec {
    name: "key",
    help: "the team's key (default: LAGOONNOTCH_KEY)",
    value: Some("KEY"),
};
const JSON: OptionSpec = OptionSpec {
    name: "json",
    help: "print JSON",
    value: None,
};
const ID: OptionSpec = OptionSpec {
    name: "id",
    help: "idempotency key",
    value: Some("ID"),
};
const WORKLOAD: OptionSpec = OptionSpec {
    name: "workload",
    help: "workload policy",
    value: Some("NAME"),
};
const PAYLOAD: OptionSpec = OptionSpec {
    name: "payload",
    help: "input of the work",
    value: Some("TEXT"),
};

/// Runs a quick request.
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
                help: "longest time for the answer",
                value: Some("MS"),
            },
        ],
        free: 0,
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
        |answer, _| {
            print_bytes(answer);
            Ok(())
        },
    )
}

/// Submits a job.
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
        free: 0,
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
        |answer, json| {
            let accepted: JobAccepted = answer.parse()?;
            if json {
                print_json(&accepted);
            } else {
                println!("{}", accepted.id);
            }
            Ok(())
        },
    )
}

/// Shows a job.
pub(super) fn show(arguments: &[String]) -> CommandExit {
    const SPEC: CommandSpec = CommandSpec {
        usage: "show JOB [OPTIONS]",
        options: &[HOST, KEY, JSON],
        free: 1,
    };
    run_call(
        &SPEC,
        arguments,
        |arguments| Ok(job_call(Method::GET, arguments, "")),
        print_status,
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
        free: 1,
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
        |answer, _| {
            print_bytes(answer);
            Ok(())
        },
    )
}

/// Cancels a job.
pub(super) fn cancel(arguments: &[String]) -> CommandExit {
    const SPEC: CommandSpec = CommandSpec {
        usage: "cancel JOB [OPTIONS]",
        options: &[HOST, KEY, JSON],
        free: 1,
    };
    run_call(
        &SPEC,
        arguments,
        |arguments| Ok(job_call(Method::DELETE, arguments, "")),
        print_status,
    )
}

/// Shows the cell.
pub(super) fn status(arguments: &[String]) -> CommandExit {
    const SPEC: CommandSpec = CommandSpec {
        usage: "status [OPTIONS]",
        options: &[HOST, KEY, JSON],
        free: 0,
    };
    run_call(
        &SPEC,
        arguments,
        |_| Ok(ApiCall::new(Method::GET, "/v1/status")),
        |answer, json| {
            let status: CellStatus = answer.parse()?;
            if json {
                print_json(&status);
            } else {
                print_cell(&status);
            }
            Ok(())
        },
    )
}

fn run_call(
    spec: &CommandSpec,
    arguments: &[String],
    make: impl Fn(&CommandArguments) -> Result<ApiCall, ArgumentFault>,
    print: impl Fn(&ApiAnswer, bool) -> Result<(), Box<ProblemBody>>,
) -> CommandExit {
    let arguments = match spec.parse(arguments) {
        Ok(arguments) => arguments,
        Err(exit) => return exit,
    };
    let call = match make(&arguments) {
        Ok(call) => call.key(&caller_key(&arguments)),
        Err(fault) => {
            eprintln!("lagoonnotch: {fault}\n\n{}", spec.help());
            return CommandExit::Usage;
        }
    };
    let host = arguments
        .value("host")
        .unwrap_or_else(|| DEFAULT_HOST.to_owned());
    let json = arguments.flag("json");
    let result = block_on(async { ApiClient::new(host).call(call).await });
    match result.and_then(|answer| print(&answer, json)) {
        Ok(()) => CommandExit::Done,
        Err(problem) => print_problem(&problem, json),
    }
}

/// Runs a future to its end.
pub(super) fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime can be started").block_on(future)
}

fn caller_key(arguments: &CommandArguments) -> String {
    arguments
        .value("key")
        .or_else(|| std::env::var("LAGOONNOTCH_KEY").ok())
        .unwrap_or_default()
}

fn job_call(method: Method, arguments: &CommandArguments, rest: &str) -> ApiCall {
    ApiCall::new(method, format!("/v1/jobs/{}{rest}", arguments.free(0)))
}

fn print_status(answer: &ApiAnswer, json: bool) -> Result<(), Box<ProblemBody>> {
    let status: JobStatus = answer.parse()?;
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

fn print_cell(status: &CellStatus) {
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

fn print_bytes(answer: &ApiAnswer) {
    let _ = std::io::stdout().write_all(&answer.body);
    println!();
    if let Some(id) = &answer.request_id {
        eprintln!("request {id}");
    }
}
