//! A consumer: one HTTP/1.1 request on a connection of its own.

use std::time::Duration;

use eyre::{Result, eyre};
use lagoonnotch_soak::{CALLER_TEAM_KEY, QUEUE_HOST};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Sends a request and reads the whole answer; fails if there is none within `limit`.
pub async fn call(
    address: &str,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<(u16, String)> {
    call_with_key(address, CALLER_TEAM_KEY, method, path, body, limit).await
}

/// Sends a request with the key of a tenant, or without one if it is empty.
pub async fn call_with_key(
    address: &str,
    key: &str,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<(u16, String)> {
    timeout(limit, exchange(address, key, method, path, body, limit)).await?
}

async fn exchange(
    address: &str,
    key: &str,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<(u16, String)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let credential = match key {
        "" => String::new(),
        key => format!("X-Lagoonnotch-Credential: {key}\r\n"),
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\nContent-Type: application/json\r\n\
         {credential}X-Lagoonnotch-Deadline-Ms: {}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let answer = String::from_utf8_lossy(&answer);
    let (head, body) = answer
        .split_once("\r\n\r\n")
        .ok_or_else(|| eyre!("the connection ended without an answer"))?;
    let status = head.get(9..12).ok_or_else(|| eyre!("no status"))?.parse()?;
    Ok((status, body.to_owned()))
}

/// Hands a submission in at one host after the other, up to `tries` times, until one accepts it.
/// Returns the number of tries, or what the last one gave.
pub async fn submit(
    hosts: &[String],
    path: &str,
    body: &Value,
    tries: usize,
    limit: Duration,
) -> Result<usize, String> {
    let mut last = String::new();
    let body = body.to_string();
    for number in 0..tries {
        let first = path.bytes().map(usize::from).sum::<usize>();
        let address = &hosts[(first + number) % hosts.len()];
        match call(address, "POST", path, &body, limit).await {
            Ok((200..=299, _)) => return Ok(number + 1),
            Ok((status, text)) => last = format!("{status} {}", text.trim()),
            Err(error) => last = format!("no answer: {error}"),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Err(last)
}

/// Asks every host for the state of a submission, one after the other, until one answers.
pub async fn state(hosts: &[String], path: &str, limit: Duration) -> String {
    let mut last = "no answer".to_owned();
    for address in hosts {
        match call(address, "GET", path, "", limit).await {
            Ok((200, text)) => {
                let body: Value = serde_json::from_str(&text).unwrap_or_default();
                return body["state"].as_str().unwrap_or("no state").to_owned();
            }
            Ok((status, _)) => last = format!("status {status}"),
            Err(error) => last = format!("no answer: {error}"),
        }
    }
    last
}
