//! Lines of the relay's own on their way out.
use std::io::{ErrorKind, Write};

/// A short text that waits to be written.
#[derive(Default)]
pub(crate) struct OutputBuffer {
    text: Vec<u8>,
    written: usize,
}

impl OutputBuffer {
    /// Adds a line, to which the ending is put.
    pub(crate) fn push_line(&mut self, line: &str) {
        self.text.extend_from_slice(line.as_bytes());
        self.text.extend_from_slice(b"\r\n");
    }

    /// Whether bytes wait to be written.
    pub(crate) fn has_pending(&self) -> bool {
        self.written < self.text.len()
    }

    /// Whether some of what waits has been written.
    pub(crate) fn has_written(&self) -> bool {
        self.written > 0
    }

    /// Writes once; true once nothing waits.
    ///
    /// # Errors
    /// The connection is broken.
    pub(crate) fn write_to(&mut self, to: &mut impl Write) -> std::io::Result<bool> {
        if self.has_pending() {
            self.written += write_available(to, &self.text[self.written..])?;
        }
        if !self.has_pending() {
            *self = OutputBuffer::default();
        }
        Ok(self.text.is_empty())
    }
}

/// Writes what a non-blocking socket takes at present, and returns how much that was.
///
/// # Errors
/// The connection is broken, or takes nothing any more.
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
