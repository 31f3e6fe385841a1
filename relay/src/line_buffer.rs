//! One direction of a connection: lines that wait on their way through. They are read in pieces
//! split anywhere and passed on whole, so that a line of the relay's own fits between any two.
use crate::buffers::{BUFFER_SIZE, Buffer, BufferPool};
use crate::output_buffer::write_available;
use std::io::{ErrorKind, Read, Write};

/// The longest line in bytes, its ending included.
pub(crate) const MAX_LINE_BYTES: usize = 4 * 1024;

/// A line is longer than the protocol allows.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line of more than {MAX_LINE_BYTES} bytes")]
pub(crate) struct LineTooLong;

/// What a read brought.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// So many bytes.
    Bytes(usize),
    /// Nothing at present.
    Nothing,
    /// The other side has finished its sending.
    End,
    /// The pool has no buffer to read into.
    Starved,
}

/// The bytes that wait in one direction of a connection.
///
/// Those between `start` and `line_end` are lines that have been looked at; those up to `end` are
/// lines not looked at yet, and the beginning of one.
#[derive(Default)]
pub(crate) struct LineBuffer {
    /// Taken from the pool for as long as bytes wait.
    buffer: Option<Buffer>,
    start: usize,
    line_end: usize,
    end: usize,
    /// Nothing more will be read.
    pub(crate) has_ended: bool,
}

impl LineBuffer {
    /// A buffer with what waited in another process, of which `line_bytes` are whole lines; none
    /// where the pool has no buffer.
    pub(crate) fn restore(
        bytes: &[u8],
        line_bytes: usize,
        pool: &mut BufferPool,
    ) -> Option<LineBuffer> {
        if bytes.is_empty() {
            return Some(LineBuffer::default());
        }
        let mut buffer = pool.take()?;
        buffer.get_mut(..bytes.len())?.copy_from_slice(bytes);
        Some(LineBuffer {
            buffer: Some(buffer),
            start: 0,
            line_end: line_bytes,
            end: bytes.len(),
            has_ended: false,
        })
    }

    /// The bytes that wait, and how many of them are lines that have been looked at.
    pub(crate) fn waiting(&self) -> (&[u8], usize) {
        let bytes = self
            .buffer
            .as_ref()
            .map_or(&[][..], |buffer| &buffer[self.start..self.end]);
        (bytes, self.line_end - self.start)
    }

    /// Reads once, so that no connection takes a turn of the loop for itself.
    ///
    /// # Errors
    /// The connection is broken.
    pub(crate) fn read_from(
        &mut self,
        from: &mut impl Read,
        pool: &mut BufferPool,
    ) -> std::io::Result<ReadOutcome> {
        if self.buffer.is_none() {
            self.buffer = pool.take();
        }
        let Some(buffer) = self.buffer.as_mut() else {
            return Ok(ReadOutcome::Starved);
        };
        if self.start > 0 {
            buffer.copy_within(self.start..self.end, 0);
            self.line_end -= self.start;
            self.end -= self.start;
            self.start = 0;
        }
        if self.end == BUFFER_SIZE {
            return Ok(ReadOutcome::Nothing);
        }
        let outcome = match from.read(&mut buffer[self.end..]) {
            Ok(0) => {
                self.has_ended = true;
                Ok(ReadOutcome::End)
            }
            Ok(length) => {
                self.end += length;
                Ok(ReadOutcome::Bytes(length))
            }
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                Ok(ReadOutcome::Nothing)
            }
            Err(error) => Err(error),
        };
        self.release_if_empty(pool);
        outcome
    }

    /// The next whole line, without its ending; from then on it may be written.
    ///
    /// # Errors
    /// The line is too long, whether its ending has come or not.
    pub(crate) fn next_line(&mut self) -> Result<Option<&[u8]>, LineTooLong> {
        let Some(buffer) = self.buffer.as_ref() else {
            return Ok(None);
        };
        let rest = &buffer[self.line_end..self.end];
        let Some(length) = rest.iter().position(|&byte| byte == b'\n') else {
            return if rest.len() >= MAX_LINE_BYTES {
                Err(LineTooLong)
            } else {
                Ok(None)
            };
        };
        if length >= MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        self.line_end += length + 1;
        let line = &rest[..length];
        Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
    }

    /// Drops the lines that have been looked at: they were meant for the relay.
    pub(crate) fn discard_lines(&mut self, pool: &mut BufferPool) {
        self.start = self.line_end;
        self.release_if_empty(pool);
    }

    /// Drops everything.
    pub(crate) fn clear(&mut self, pool: &mut BufferPool) {
        self.line_end = self.end;
        self.discard_lines(pool);
    }

    /// Drops the beginning of a line whose rest will not be waited for.
    pub(crate) fn discard_partial_line(&mut self, pool: &mut BufferPool) {
        self.end = self.line_end;
        self.release_if_empty(pool);
    }

    /// Whether bytes wait that may be written.
    pub(crate) fn has_writable(&self) -> bool {
        self.start < self.writable_end()
    }

    /// Whether any bytes wait, be it the beginning of a line.
    pub(crate) fn has_bytes(&self) -> bool {
        self.start < self.end
    }

    /// Whether more can be read.
    pub(crate) fn has_room(&self) -> bool {
        self.end - self.start < BUFFER_SIZE && !self.has_ended
    }

    /// Writes once; true once nothing waits that may be written.
    ///
    /// # Errors
    /// The connection is broken.
    pub(crate) fn write_to(
        &mut self,
        to: &mut impl Write,
        pool: &mut BufferPool,
    ) -> std::io::Result<bool> {
        let writable_end = self.writable_end();
        if let Some(buffer) = self.buffer.as_ref().filter(|_| self.start < writable_end) {
            self.start += write_available(to, &buffer[self.start..writable_end])?;
            self.line_end = self.line_end.max(self.start);
            self.release_if_empty(pool);
        }
        Ok(!self.has_writable())
    }

    /// Up to where bytes may be written. The last line may lack its ending: it passes once nothing
    /// can follow.
    fn writable_end(&self) -> usize {
        if self.has_ended {
            self.end
        } else {
            self.line_end
        }
    }

    fn release_if_empty(&mut self, pool: &mut BufferPool) {
        if self.start == self.end
            && let Some(buffer) = self.buffer.take()
        {
            (self.start, self.line_end, self.end) = (0, 0, 0);
            pool.give_back(buffer);
        }
    }
}

#[cfg(test)]
mod tests;
