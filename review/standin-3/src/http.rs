//! Framing of HTTP/1.1 requests.

/// Returns the length of the first request, if it is complete.
pub fn request_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let body = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    let length = end + body.unwrap_or(0);
    (bytes.len() >= length).then_some(length)
}
