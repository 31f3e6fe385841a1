//! The HTTP protocol of discovery agents: requests for the endpoint list, and the answers.

/// The answer to a request for any other path.
pub(super) const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
/// The head of the answer to a watch, which the lines of the watch follow as chunks.
pub(super) const WATCH_RESPONSE_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A line of a watch that can't be parsed as an endpoint list.
pub(super) const MALFORMED_LINE: &str = "{\"generation\": many";
const LIST_PATH: &str = "/api/targets";
const MAX_HEADERS: usize = 32;

/// A relay's request to its discovery agent.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ListRequest {
    /// The present list.
    Snapshot,
    /// The changes since this generation, or without one the whole list and then its changes.
    Watch(Option<u64>),
    /// A path that the agent doesn't serve.
    UnknownPath,
}

impl ListRequest {
    /// Returns the request at the start of the input and its length in bytes; `None` if the request
    /// is incomplete or malformed.
    pub(super) fn parse(input: &[u8]) -> Option<(ListRequest, usize)> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(input) {
            Ok(httparse::Status::Complete(length)) => {
                Some((ListRequest::from_path(request.path?), length))
            }
            _ => None,
        }
    }

    fn from_path(path: &str) -> ListRequest {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        if path != LIST_PATH {
            return ListRequest::UnknownPath;
        }
        let value = |name: &str| {
            query
                .split('&')
                .find_map(|item| item.strip_prefix(name)?.strip_prefix('='))
        };
        if value("follow") != Some("1") {
            return ListRequest::Snapshot;
        }
        ListRequest::Watch(value("since").and_then(|since| since.parse().ok()))
    }
}

/// Returns a complete answer with this endpoint list as its body.
pub(super) fn snapshot(list: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    )
}

/// Returns a line of a watch as an HTTP chunk.
pub(super) fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
