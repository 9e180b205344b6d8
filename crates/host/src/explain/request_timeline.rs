//! Timeline of one request.

use std::fmt;

use serde_json::Value;

/// Minimum gap between two entries that is reported as the longest wait, in milliseconds.
const MIN_GAP_MS: u64 = 100;

/// A log line that concerns the request.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Host that wrote the line.
    pub host: String,
    /// Name of the event.
    pub name: String,
    /// Other fields of the event, as `name=value`.
    pub fields: String,
}

/// Chronological log entries of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestTimeline {
    /// Entries in chronological order.
    pub entries: Vec<TimelineEntry>,
    /// How the request ended, as far as the logs show.
    pub conclusion: String,
    /// Number of lines that were skipped because they contain no JSON object.
    pub unparsed_lines: usize,
}

/// Builds the timeline of a request from log lines in any order.
pub fn build_timeline(request: &str, lines: impl IntoIterator<Item = String>) -> RequestTimeline {
    let mut entries = Vec::new();
    let mut unparsed_lines = 0;
    for line in lines {
        if line.trim().is_empty() {
            continue;
        }
        let Some(object) = parse_object(&line) else {
            unparsed_lines += 1;
            continue;
        };
        entries.extend(parse_entry(request, &object));
    }
    entries.sort_by_key(|entry| entry.unix_ms);
    RequestTimeline {
        conclusion: conclusion(&entries),
        entries,
        unparsed_lines,
    }
}

/// Parses the JSON object in a line, which may follow a prefix added by another tool.
fn parse_object(line: &str) -> Option<Value> {
    let begin = line.find('{')?;
    let value: Value = serde_json::from_str(&line[begin..]).ok()?;
    value.is_object().then_some(value)
}

fn parse_entry(request: &str, object: &Value) -> Option<TimelineEntry> {
    let text = |name: &str| object.get(name).and_then(Value::as_str);
    let is_step_of_request =
        text("step").is_some_and(|step| step.split('.').next() == Some(request));
    if text("request") != Some(request) && !is_step_of_request {
        return None;
    }
    let fields = object
        .as_object()?
        .iter()
        .filter(|(name, _)| {
            !matches!(
                name.as_str(),
                "time" | "host" | "event" | "name" | "request"
            )
        })
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        });
    Some(TimelineEntry {
        unix_ms: object.get("time").and_then(Value::as_u64).unwrap_or(0),
        host: text("host").unwrap_or("?").to_owned(),
        name: text("name").unwrap_or("?").to_owned(),
        fields: fields.collect::<Vec<_>>().join(" "),
    })
}

fn conclusion(entries: &[TimelineEntry]) -> String {
    let (Some(first), Some(last)) = (entries.first(), entries.last()) else {
        return "the logs do not name this request".to_owned();
    };
    let ended = entries.iter().rev().find(|entry| {
        matches!(
            entry.name.as_str(),
            "SubmissionEnded" | "RequestRefused" | "RequestUnsettled"
        )
    });
    let end = match ended {
        Some(entry) => format!("{} ({})", entry.name, entry.fields),
        None => "no end is logged".to_owned(),
    };
    let seconds = seconds_between(first, ended.unwrap_or(last));
    let text = format!("{end} after {seconds} s");
    let longest_gap = entries
        .windows(2)
        .max_by_key(|pair| pair[1].unix_ms - pair[0].unix_ms);
    if let Some([before, after]) = longest_gap.map(|pair| [&pair[0], &pair[1]])
        && after.unix_ms - before.unix_ms >= MIN_GAP_MS
    {
        let wait = seconds_between(before, after);
        return format!(
            "{text}; longest wait {wait} s, between {} and {}",
            before.name, after.name
        );
    }
    text
}

#[expect(clippy::cast_precision_loss, reason = "times of one request")]
fn seconds_between(before: &TimelineEntry, after: &TimelineEntry) -> f64 {
    after.unix_ms.saturating_sub(before.unix_ms) as f64 / 1000.0
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let begin = self.entries.first().cloned();
        for entry in &self.entries {
            let since = begin
                .as_ref()
                .map_or(0.0, |begin| seconds_between(begin, entry));
            writeln!(
                formatter,
                "{since:>9.3} s  {}  {} {}",
                entry.host, entry.name, entry.fields
            )?;
        }
        if self.unparsed_lines > 0 {
            writeln!(formatter, "{} lines could not be read", self.unparsed_lines)?;
        }
        write!(formatter, "{}", self.conclusion)
    }
}
