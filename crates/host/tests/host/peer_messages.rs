//! Tests of the form of messages between hosts.

use lagoonnotch_host::peer::HeartbeatRequest;

/// Guards against a rolling upgrade in which hosts can't read each other's heartbeats: the encoding
/// has no field names, so a field more or less makes them unreadable.
#[test]
fn heartbeat_request_keeps_its_form() {
    let request = HeartbeatRequest {
        host: "h1".into(),
        address: "10.0.0.1:7180".into(),
        accepts_work: true,
        processor_milli: 250,
        peers_digest: 7,
    };

    let text = serde_json::to_string(&request).expect("the request can be encoded");

    assert_eq!(
        text,
        r#"{"host":"h1","address":"10.0.0.1:7180","accepts_work":true,"processor_milli":250,"peers_digest":7}"#
    );
}
