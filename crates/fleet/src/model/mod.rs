//! Data types of submissions, approved configuration, stored progress and upstream reports.

mod approved_config;
mod progress_record;
mod submission_record;
mod task_name;
mod upstream_report;

pub use approved_config::{
    ApprovedConfig, PolicyTiming, PoolPolicy, QueuePolicy, RequestLimits, TeamPolicy,
};
pub use lagoonnotch::model::ResourceSize;
pub use progress_record::{
    CrashRecord, CrashScope, ProgressRecord, RateRecord, RunRecord, StepProgress, SubmissionState,
};
pub use submission_record::{StepSpec, SubmissionRecord};
pub use task_name::TaskName;
pub use upstream_report::{
    DirectoryRead, FinishedRun, RejectReason, RenewReply, RunOutcome, RunReport, StartOutcome,
    StopOutcome, UpstreamReport,
};
