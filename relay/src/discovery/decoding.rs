//! The text of endpoint lists: cut into lists as it arrives, and parsed.
use crate::discovery::error::{EndpointError, WatchError};
use serde::Deserialize;
use std::net::SocketAddr;
use thistlecroft::endpoint::EndpointState;

/// An endpoint list as the agent sends it.
#[derive(Deserialize)]
pub(crate) struct EndpointList {
    /// The version of the list that this one brings its reader to.
    pub(super) generation: u64,
    /// It is complete: what it does not name is gone.
    #[serde(default, rename = "reset")]
    pub(super) is_complete: bool,
    #[serde(rename = "instances")]
    pub(super) endpoints: Vec<EndpointText>,
}

/// One endpoint of a list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct EndpointText {
    #[serde(rename = "instanceId")]
    pub(super) name: String,
    #[serde(rename = "hostPort")]
    address: String,
    #[serde(default)]
    pub(super) zone: String,
    pub(super) cell: Option<u64>,
    lifecycle: String,
    pub(super) weight: Option<f64>,
    pub(super) started_at_ms: Option<u64>,
}

impl EndpointText {
    /// # Errors
    /// It is no address with a port.
    pub(super) fn address(&self) -> Result<SocketAddr, EndpointError> {
        self.address.parse().map_err(|_| EndpointError::Address {
            instance: self.name.clone(),
            address: self.address.clone(),
        })
    }

    /// # Errors
    /// The lifecycle is an unknown one.
    pub(super) fn state(&self) -> Result<EndpointState, EndpointError> {
        match self.lifecycle.as_str() {
            "Ready" => Ok(EndpointState::Ready),
            "Terminating" => Ok(EndpointState::Draining),
            "Gone" => Ok(EndpointState::Removed),
            other => Err(EndpointError::Lifecycle {
                instance: self.name.clone(),
                lifecycle: other.to_string(),
            }),
        }
    }
}

/// Cuts the text of a watch into lists. A list may stand on one line or be indented over many, so
/// its end is found by its braces; between two lists there are empty lines, within one there is
/// none.
#[derive(Default)]
pub(super) struct ListSplitter {
    /// What has come and is not yet taken.
    pub(super) text: Vec<u8>,
    /// How far the text has been scanned, and the state of the scan there.
    scanned: usize,
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
    /// Only white space since the line began.
    is_line_blank: bool,
}

/// What a byte of the text completes.
enum Scanned {
    Nothing,
    List,
    /// A line outside any list: a heartbeat.
    Line,
}

impl ListSplitter {
    /// Moves the lists that are complete to `lists`. True if a list or a heartbeat was completed.
    ///
    /// # Errors
    /// The text is none of endpoint lists, or one was cut off. What came before is in `lists`.
    pub(super) fn take_complete(&mut self, lists: &mut Vec<Vec<u8>>) -> Result<bool, WatchError> {
        let (mut has_completed, mut start) = (false, 0);
        while let Some(&byte) = self.text.get(self.scanned) {
            let scanned = self.scan(byte)?;
            self.scanned += 1;
            match scanned {
                Scanned::Nothing => continue,
                Scanned::List => lists.push(self.text[start..self.scanned].to_vec()),
                Scanned::Line => {}
            }
            (has_completed, start) = (true, self.scanned);
        }
        self.text.drain(..start);
        self.scanned -= start;
        self.check_incomplete()?;
        Ok(has_completed)
    }

    fn scan(&mut self, byte: u8) -> Result<Scanned, WatchError> {
        let was_blank = self.is_line_blank;
        self.is_line_blank = byte == b'\n' || was_blank && byte.is_ascii_whitespace();
        let is_in_list = self.depth > 0;
        match byte {
            b'\n' if self.is_in_string || is_in_list && was_blank => {
                return Err(WatchError::TruncatedList);
            }
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' if self.is_in_string => self.is_escaped = true,
            b'"' if is_in_list => self.is_in_string = !self.is_in_string,
            _ if self.is_in_string => {}
            b'{' | b'[' if is_in_list || byte == b'{' => self.depth += 1,
            b'}' | b']' if is_in_list => {
                self.depth -= 1;
                if self.depth == 0 {
                    return Ok(Scanned::List);
                }
            }
            _ if is_in_list => {}
            b'\n' => return Ok(Scanned::Line),
            _ if byte.is_ascii_whitespace() => {}
            _ => return Err(WatchError::NotAList),
        }
        Ok(Scanned::Nothing)
    }

    /// A list that was cut off and continues with the next one would be waited for without end, so
    /// its beginning is parsed at the end of each line.
    fn check_incomplete(&self) -> Result<(), WatchError> {
        if self.depth == 0 || !self.text.ends_with(b"\n") {
            return Ok(());
        }
        match serde_json::from_slice::<serde::de::IgnoredAny>(&self.text) {
            Err(error) if !error.is_eof() => Err(error.into()),
            _ => Ok(()),
        }
    }
}
