//! Discovery's HTTP exchange: the requests for the endpoint list and the texts of the answers.

/// The answer to a request for any other path.
pub(super) const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
/// The head of the answer to a watch, whose lines follow as chunks.
pub(super) const WATCH_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A line that is no endpoint list.
pub(super) const MALFORMED_LINE: &str = "{\"generation\": many";
const LIST_PATH: &str = "/api/targets";
const MAX_HEADERS: usize = 32;

/// What a relay asks of its agent.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ListRequest {
    /// The present list.
    Snapshot,
    /// The changes since this version, or the whole list and its changes.
    Watch(Option<u64>),
    /// A path that is not served here.
    UnknownPath,
}

impl ListRequest {
    /// The request at the start of the input and its length; none while it is not complete.
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

/// A complete answer with this list.
pub(super) fn snapshot(list: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    )
}

/// A line of a watch.
pub(super) fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
