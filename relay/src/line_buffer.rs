//! A buffer for the lines of one direction of a connection. Bytes are read in pieces of any size,
//! but only whole lines are written, so that the relay can insert a line of its own between any
//! two.
use crate::buffers::{BUFFER_SIZE, Buffer, BufferPool};
use crate::output_buffer::write_available;
use std::io::{ErrorKind, Read, Write};

/// The maximum length of a line in bytes, its ending included.
pub(crate) const MAX_LINE_BYTES: usize = 4 * 1024;

/// The error for a line longer than the protocol allows.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line exceeds {MAX_LINE_BYTES} bytes")]
pub(crate) struct LineTooLong;

/// The outcome of one read.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// No bytes could be read at present.
    Nothing,
    /// The other side has finished sending.
    End,
    /// The pool has no free buffer to read into.
    Starved,
}

/// The bytes that wait to be written in one direction of a connection.
///
/// The bytes between `start` and `parsed_end` are lines that [`LineBuffer::next_line`] has
/// returned. Those between `parsed_end` and `end` have not been parsed yet; the last line may be
/// incomplete.
#[derive(Default)]
pub(crate) struct LineBuffer {
    /// A buffer of the pool, held only while bytes wait.
    buffer: Option<Buffer>,
    start: usize,
    parsed_end: usize,
    end: usize,
    /// Whether the other side has finished sending, so that nothing more will be read.
    pub(crate) has_ended: bool,
}

impl LineBuffer {
    /// Restores a buffer from the bytes that waited in another process, of which the first
    /// `parsed_bytes` are lines that it had parsed. Returns none if the pool has no free buffer or
    /// the bytes do not fit into one.
    pub(crate) fn restore(
        bytes: &[u8],
        parsed_bytes: usize,
        pool: &mut BufferPool,
    ) -> Option<LineBuffer> {
        if bytes.is_empty() {
            return Some(LineBuffer::default());
        }
        let mut buffer = pool.acquire()?;
        buffer.get_mut(..bytes.len())?.copy_from_slice(bytes);
        Some(LineBuffer {
            buffer: Some(buffer),
            start: 0,
            parsed_end: parsed_bytes,
            end: bytes.len(),
            has_ended: false,
        })
    }

    /// Returns the waiting bytes, and how many of them are lines that have been parsed.
    pub(crate) fn waiting_bytes(&self) -> (&[u8], usize) {
        let bytes = self
            .buffer
            .as_ref()
            .map_or(&[][..], |buffer| &buffer[self.start..self.end]);
        (bytes, self.parsed_end - self.start)
    }

    /// Reads once, so that no connection takes up a whole turn of the event loop.
    ///
    /// # Errors
    /// The connection is broken.
    pub(crate) fn read_from(
        &mut self,
        from: &mut impl Read,
        pool: &mut BufferPool,
    ) -> std::io::Result<ReadOutcome> {
        if self.buffer.is_none() {
            self.buffer = pool.acquire();
        }
        let Some(buffer) = self.buffer.as_mut() else {
            return Ok(ReadOutcome::Starved);
        };
        if self.start > 0 {
            buffer.copy_within(self.start..self.end, 0);
            self.parsed_end -= self.start;
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

    /// Returns the next whole line, without its ending. From then on the line may be written.
    ///
    /// # Errors
    /// The line is too long, whether or not its ending has arrived.
    pub(crate) fn next_line(&mut self) -> Result<Option<&[u8]>, LineTooLong> {
        let Some(buffer) = self.buffer.as_ref() else {
            return Ok(None);
        };
        let rest = &buffer[self.parsed_end..self.end];
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
        self.parsed_end += length + 1;
        let line = &rest[..length];
        Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
    }

    /// Drops the lines that have been parsed, because they were meant for the relay itself.
    pub(crate) fn discard_lines(&mut self, pool: &mut BufferPool) {
        self.start = self.parsed_end;
        self.release_if_empty(pool);
    }

    /// Drops all waiting bytes.
    pub(crate) fn clear(&mut self, pool: &mut BufferPool) {
        self.parsed_end = self.end;
        self.discard_lines(pool);
    }

    /// Drops the bytes that have not been parsed, such as an incomplete line.
    pub(crate) fn discard_partial_line(&mut self, pool: &mut BufferPool) {
        self.end = self.parsed_end;
        self.release_if_empty(pool);
    }

    /// Returns whether bytes wait that may be written.
    pub(crate) fn has_writable(&self) -> bool {
        self.start < self.writable_end()
    }

    /// Returns whether any bytes wait, even if only an incomplete line.
    pub(crate) fn has_bytes(&self) -> bool {
        self.start < self.end
    }

    /// Returns whether more bytes can be read.
    pub(crate) fn has_room(&self) -> bool {
        self.end - self.start < BUFFER_SIZE && !self.has_ended
    }

    /// Writes once. Returns true if no bytes that may be written are left.
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
            self.parsed_end = self.parsed_end.max(self.start);
            self.release_if_empty(pool);
        }
        Ok(!self.has_writable())
    }

    /// Returns the end of the bytes that may be written. After the other side has finished sending,
    /// these include a last line without an ending.
    fn writable_end(&self) -> usize {
        if self.has_ended {
            self.end
        } else {
            self.parsed_end
        }
    }

    /// Returns the buffer to the pool if no bytes wait.
    fn release_if_empty(&mut self, pool: &mut BufferPool) {
        if self.start == self.end
            && let Some(buffer) = self.buffer.take()
        {
            (self.start, self.parsed_end, self.end) = (0, 0, 0);
            pool.release(buffer);
        }
    }
}

#[cfg(test)]
mod tests;
