//! A single finding, and the list of findings of an input.

use std::fmt;

/// A validation error in an input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Stable code of the kind of error.
    pub code: &'static str,
    /// JSON pointer to the invalid value.
    pub place: String,
    /// Description of the value found there.
    pub found: String,
    /// Description of the expected value.
    pub expected: String,
}

impl Finding {
    /// Creates a finding.
    #[must_use]
    pub fn new(
        code: &'static str,
        place: impl Into<String>,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Self {
            code,
            place: place.into(),
            found: found.into(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = if self.place.is_empty() {
            "/"
        } else {
            &self.place
        };
        write!(
            formatter,
            "{} {place}: found {}, expected {}",
            self.code, self.found, self.expected
        )
    }
}

/// All findings of an input; non-empty when used as an error.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FindingList {
    /// The findings, in the order of the checks that produced them.
    pub findings: Vec<Finding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.findings.push(finding);
    }

    /// Returns whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the value if there are no findings.
    ///
    /// # Errors
    /// Returns the findings otherwise.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.findings.len();
        let noun = if count == 1 { "finding" } else { "findings" };
        write!(formatter, "{count} {noun}")?;
        for finding in &self.findings {
            write!(formatter, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}
