//! The set of banned backends and its text form: a header with a version, the relay's name, a
//! serial number, a line for each backend, and a checksum over all lines before it. No I/O.
use crate::stable_hash::stable_hash;
use std::collections::BTreeSet;

const HEADER: &str = "thistlecroft bans 1";
/// The length of the last line, which holds the checksum as 16 hexadecimal digits.
const CHECKSUM_LINE_BYTES: usize = "check 0000000000000000\n".len();

/// The names of the banned backends; every relay uses the same names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct BanList {
    /// The number of changes that led to this list.
    pub(crate) serial: u64,
    pub(crate) banned: BTreeSet<String>,
}

/// Why a text is not a ban list of this relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BanListError {
    #[error("the first line is not the header of this version")]
    Version,
    #[error("the checksum line is missing or truncated")]
    Truncated,
    #[error("the checksum does not match the contents")]
    Checksum,
    #[error("the list belongs to another relay")]
    OtherRelay,
    #[error("the serial is not a number")]
    Serial,
    #[error("a line has an unknown keyword")]
    UnknownLine,
}

impl BanList {
    /// Adds or removes a backend. Returns whether that changed the set of banned backends.
    pub(crate) fn set(&mut self, backend: &str, is_banned: bool) -> bool {
        let has_changed = if is_banned {
            self.banned.insert(backend.to_string())
        } else {
            self.banned.remove(backend)
        };
        self.serial += u64::from(has_changed);
        has_changed
    }

    /// Returns the text form of the list of this relay.
    pub(crate) fn encode(&self, relay: &str) -> String {
        let mut text = format!("{HEADER}\nrelay {relay}\nserial {}\n", self.serial);
        for backend in &self.banned {
            text.push_str(&format!("out {backend}\n"));
        }
        let checksum = checksum_line(&text);
        text + &checksum
    }

    /// Parses the text form.
    ///
    /// # Errors
    /// Returns an error if the text is damaged, of another version, or of another relay.
    pub(crate) fn parse(text: &str, relay: &str) -> Result<BanList, BanListError> {
        if !text.starts_with(&format!("{HEADER}\n")) {
            return Err(BanListError::Version);
        }
        let (body, checksum) = text
            .len()
            .checked_sub(CHECKSUM_LINE_BYTES)
            .and_then(|body_bytes| text.split_at_checked(body_bytes))
            .ok_or(BanListError::Truncated)?;
        if checksum != checksum_line(body) {
            return Err(BanListError::Checksum);
        }
        let mut list = BanList::default();
        for line in body.lines().skip(1) {
            match line.split_once(' ') {
                Some(("relay", name)) if name == relay => {}
                Some(("relay", _)) => return Err(BanListError::OtherRelay),
                Some(("serial", number)) => {
                    list.serial = number.parse().map_err(|_| BanListError::Serial)?;
                }
                Some(("out", backend)) => {
                    list.banned.insert(backend.to_string());
                }
                _ => return Err(BanListError::UnknownLine),
            }
        }
        Ok(list)
    }
}

fn checksum_line(body: &str) -> String {
    format!("check {:016x}\n", stable_hash(body.as_bytes()))
}

#[cfg(test)]
mod tests;
