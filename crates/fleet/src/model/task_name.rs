//! Task names.

use std::fmt;
use std::sync::Arc;

/// Identifies one task of a submission.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskName {
    /// Identifier of the submission.
    pub submission: Arc<str>,
    /// Index of the occurrence, starting at 0.
    pub occurrence: u32,
    /// Index of the step, starting at 0.
    pub step: u32,
    /// Index of the task in its step, starting at 0.
    pub index: u32,
}

impl TaskName {
    /// Parses a name of the form `ID.OCCURRENCE.STEP.INDEX`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let index = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let occurrence = parts.next()?.parse().ok()?;
        let submission = Arc::from(parts.next()?);
        Some(Self {
            submission,
            occurrence,
            step,
            index,
        })
    }

    /// Returns the name of the task's step.
    #[must_use]
    pub fn step_name(&self) -> String {
        format!("{}.{}.{}", self.submission, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}.{}",
            self.submission, self.occurrence, self.step, self.index
        )
    }
}
