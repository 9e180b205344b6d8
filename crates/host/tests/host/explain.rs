//! Timelines of requests, built from logs.

use lagoonnotch_host::explain::build_timeline;

fn lines(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

/// Lines of all hosts are merged in chronological order, including lines that name only a step of
/// the request; lines of other requests must not appear.
#[test]
fn timeline_merges_the_lines_of_all_hosts() {
    // Log collectors may prefix lines.
    let logs = lines(&[
        r#"{"time":2500,"host":"b","event":1071,"name":"SubmissionEnded","request":"s1","state":"Completed"}"#,
        r#"   0.1 a {"time":1000,"host":"a","event":1030,"name":"SubmissionAccepted","request":"s1","store_ms":5}"#,
        r#"{"time":1020,"host":"b","event":1050,"name":"AdviceTaken","step":"s1.0.0","allowed":4}"#,
        r#"{"time":1021,"host":"b","event":1060,"name":"TaskOrdered","request":"s2","task":"s2.0.0.0"}"#,
    ]);

    let timeline = build_timeline("s1", logs);

    insta::assert_snapshot!(timeline.to_string(), @r"
        0.000 s  a  SubmissionAccepted store_ms=5
        0.020 s  b  AdviceTaken allowed=4 step=s1.0.0
        1.500 s  b  SubmissionEnded state=Completed
    SubmissionEnded (state=Completed) after 1.5 s; longest wait 1.48 s, between AdviceTaken and SubmissionEnded
    ");
}

/// A request that no line names yields an explicit conclusion instead of an empty timeline.
#[test]
fn unknown_request_is_reported() {
    let timeline = build_timeline("s9", lines(&["no json", ""]));

    insta::assert_snapshot!(timeline.to_string(), @r"
    1 lines could not be read
    the logs do not name this request
    ");
}
