//! A buffer for lines that the relay itself sends.
use std::io::{ErrorKind, Write};

/// Lines that wait to be written.
#[derive(Default)]
pub(crate) struct OutputBuffer {
    bytes: Vec<u8>,
    /// The number of bytes at the start of `bytes` that have been written.
    written: usize,
}

impl OutputBuffer {
    /// Adds a line, and a line ending after it.
    pub(crate) fn push_line(&mut self, line: &str) {
        self.bytes.extend_from_slice(line.as_bytes());
        self.bytes.extend_from_slice(b"\r\n");
    }

    /// Returns whether bytes wait to be written.
    pub(crate) fn has_pending(&self) -> bool {
        self.written < self.bytes.len()
    }

    /// Returns whether the lines have been written in part.
    pub(crate) fn has_written(&self) -> bool {
        self.written > 0
    }

    /// Writes once. Returns true if no bytes are left to write.
    ///
    /// # Errors
    /// The connection is broken.
    pub(crate) fn write_to(&mut self, to: &mut impl Write) -> std::io::Result<bool> {
        if self.has_pending() {
            self.written += write_available(to, &self.bytes[self.written..])?;
        }
        if !self.has_pending() {
            *self = OutputBuffer::default();
        }
        Ok(self.bytes.is_empty())
    }
}

/// Writes as many bytes as a non-blocking socket takes at present, and returns their number.
///
/// # Errors
/// The connection is broken or takes no more bytes.
pub(crate) fn write_available(to: &mut impl Write, bytes: &[u8]) -> std::io::Result<usize> {
    match to.write(bytes) {
        Ok(0) => Err(ErrorKind::WriteZero.into()),
        Ok(written) => Ok(written),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            Ok(0)
        }
        Err(error) => Err(error),
    }
}
