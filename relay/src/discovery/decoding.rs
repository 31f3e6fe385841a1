//! Decoding of endpoint lists: the body of a watch is split into lists as it arrives, and each list
//! is parsed.
use crate::discovery::error::{EndpointError, WatchError};
use serde::Deserialize;
use std::net::SocketAddr;
use thistlecroft::endpoint::EndpointState;
use thistlecroft::ids::CellId;

/// An endpoint list as the agent sends it.
#[derive(Deserialize)]
pub(crate) struct EndpointList {
    /// The generation of the endpoint list once this update is applied.
    pub(super) generation: u64,
    /// True for a complete list, which removes the endpoints that it does not name; false for a
    /// delta.
    #[serde(default, rename = "reset")]
    pub(super) is_complete: bool,
    #[serde(rename = "instances")]
    pub(super) endpoints: Vec<EndpointEntry>,
}

/// One endpoint of a list, as the agent describes it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct EndpointEntry {
    #[serde(rename = "instanceId")]
    pub(super) name: String,
    #[serde(rename = "hostPort")]
    address: String,
    #[serde(default)]
    pub(super) zone: String,
    cell: Option<u64>,
    lifecycle: String,
    pub(super) weight: Option<f64>,
    pub(super) started_at_ms: Option<u64>,
}

impl EndpointEntry {
    /// Parses the address.
    ///
    /// # Errors
    /// Returns an error if it is not an IP address with a port.
    pub(super) fn address(&self) -> Result<SocketAddr, EndpointError> {
        self.address.parse().map_err(|_| EndpointError::Address {
            instance: self.name.clone(),
            address: self.address.clone(),
        })
    }

    /// Returns the cell; `None` if the list tells none, or one beyond the range of cells.
    pub(super) fn cell(&self) -> Option<CellId> {
        let number = u16::try_from(self.cell?).ok()?;
        Some(CellId(number))
    }

    /// Returns the state that the lifecycle stands for.
    ///
    /// # Errors
    /// Returns an error if the lifecycle is unknown.
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

/// Splits the decoded body of a watch into lists. A list may take one line or many indented lines,
/// so its end is found by its braces. Blank lines occur only between lists, never within one.
#[derive(Default)]
pub(super) struct ListSplitter {
    /// Decoded text from which no complete list has been taken yet.
    pub(super) text: Vec<u8>,
    /// The number of bytes of `text` scanned so far; the fields below hold the state of the scan
    /// there.
    scanned: usize,
    /// The number of open braces and brackets.
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
    /// True if the current line holds only white space so far.
    is_line_blank: bool,
}

/// What a byte of the text completes.
enum Completed {
    Nothing,
    List,
    /// A blank line outside any list.
    Heartbeat,
}

impl ListSplitter {
    /// Moves complete lists to `lists`. Returns true if a list or a heartbeat was completed.
    ///
    /// # Errors
    /// Returns an error if the text is not a sequence of lists, or if a list is truncated. Lists
    /// that were completed before the error are in `lists`.
    pub(super) fn take_complete_lists(
        &mut self,
        lists: &mut Vec<Vec<u8>>,
    ) -> Result<bool, WatchError> {
        let (mut has_completed, mut start) = (false, 0);
        while let Some(&byte) = self.text.get(self.scanned) {
            let completed = self.scan(byte)?;
            self.scanned += 1;
            match completed {
                Completed::Nothing => continue,
                Completed::List => lists.push(self.text[start..self.scanned].to_vec()),
                Completed::Heartbeat => {}
            }
            (has_completed, start) = (true, self.scanned);
        }
        self.text.drain(..start);
        self.scanned -= start;
        self.check_incomplete()?;
        Ok(has_completed)
    }

    /// Scans the next byte, and returns what it completes.
    fn scan(&mut self, byte: u8) -> Result<Completed, WatchError> {
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
                    return Ok(Completed::List);
                }
            }
            _ if is_in_list => {}
            b'\n' => return Ok(Completed::Heartbeat),
            _ if byte.is_ascii_whitespace() => {}
            _ => return Err(WatchError::NotAList),
        }
        Ok(Completed::Nothing)
    }

    /// Checks at the end of each line that the incomplete list can still become a valid one.
    /// Without this check, the end of a truncated list that is followed by the next list would be
    /// awaited forever.
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
