//! Lines of text that wait on their way through: read in pieces split anywhere, passed on whole, so
//! that a word of our own can always go between two of them.
use crate::buffers::{Buffer, Pool, SIZE};
use std::io::{ErrorKind, Read, Result, Write};

/// The longest line, its ending included.
pub const LINE: usize = 4 * 1024;

/// A line longer than the protocol has.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    Bytes(usize),
    /// Nothing to be had at present.
    Nothing,
    /// The other end has finished its sending.
    End,
    /// The pool has no buffer.
    Starved,
}

/// One direction of a connection. Bytes between `start` and `whole` are lines seen; those up to
/// `end` are the beginning of a line.
#[derive(Default)]
pub struct LineBuffer {
    buffer: Option<Buffer>,
    start: usize,
    whole: usize,
    end: usize,
    /// Nothing more will be read.
    pub ended: bool,
}

impl LineBuffer {
    /// One read, so that no connection takes a turn for itself.
    pub fn take(&mut self, from: &mut impl Read, pool: &mut Pool) -> Result<ReadOutcome> {
        if self.buffer.is_none() {
            self.buffer = pool.take();
        }
        let Some(buffer) = self.buffer.as_mut() else {
            return Ok(ReadOutcome::Starved);
        };
        if self.start > 0 {
            buffer.copy_within(self.start..self.end, 0);
            self.whole -= self.start;
            self.end -= self.start;
            self.start = 0;
        }
        if self.end == SIZE {
            return Ok(ReadOutcome::Nothing);
        }
        let took = match from.read(&mut buffer[self.end..]) {
            Ok(0) => {
                self.ended = true;
                Ok(ReadOutcome::End)
            }
            Ok(more) => {
                self.end += more;
                Ok(ReadOutcome::Bytes(more))
            }
            Err(fault)
                if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                Ok(ReadOutcome::Nothing)
            }
            Err(fault) => Err(fault),
        };
        self.tidy(pool);
        took
    }

    /// Bytes that wait, and how many of them are lines seen.
    pub fn held(&self) -> (&[u8], usize) {
        let bytes = self
            .buffer
            .as_ref()
            .map_or(&[][..], |buffer| &buffer[self.start..self.end]);
        (bytes, self.whole - self.start)
    }

    /// With what waited in another process; none where the pool has no buffer.
    pub fn holding(bytes: &[u8], whole: usize, pool: &mut Pool) -> Option<LineBuffer> {
        if bytes.is_empty() {
            return Some(LineBuffer::default());
        }
        let mut buffer = pool.take()?;
        buffer.get_mut(..bytes.len())?.copy_from_slice(bytes);
        Some(LineBuffer {
            buffer: Some(buffer),
            start: 0,
            whole,
            end: bytes.len(),
            ended: false,
        })
    }

    /// The next whole line, without its ending.
    pub fn next_line(&mut self) -> std::result::Result<Option<&[u8]>, TooLong> {
        let Some(buffer) = self.buffer.as_ref() else {
            return Ok(None);
        };
        let rest = &buffer[self.whole..self.end];
        let Some(at) = rest.iter().position(|&byte| byte == b'\n') else {
            return if rest.len() >= LINE {
                Err(TooLong)
            } else {
                Ok(None)
            };
        };
        if at >= LINE {
            return Err(TooLong);
        }
        self.whole += at + 1;
        let line = &rest[..at];
        Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
    }

    /// The lines seen so far were meant for us.
    pub fn consume(&mut self, pool: &mut Pool) {
        self.start = self.whole;
        self.tidy(pool);
    }

    pub fn clear(&mut self, pool: &mut Pool) {
        self.whole = self.end;
        self.consume(pool);
    }

    /// Drops the beginning of a line whose rest will not be waited for.
    pub fn cut(&mut self, pool: &mut Pool) {
        self.end = self.whole;
        self.tidy(pool);
    }

    /// The last line may lack its ending: it passes once nothing can follow.
    fn due(&self) -> usize {
        if self.ended { self.end } else { self.whole }
    }

    pub fn waits(&self) -> bool {
        self.start < self.due()
    }

    pub fn has_bytes(&self) -> bool {
        self.start < self.end
    }

    pub fn has_room(&self) -> bool {
        self.end - self.start < SIZE && !self.ended
    }

    /// One write; true once nothing waits.
    pub fn give(&mut self, to: &mut impl Write, pool: &mut Pool) -> Result<bool> {
        let due = self.due();
        if let Some(buffer) = self.buffer.as_ref().filter(|_| self.start < due) {
            self.start += write_some(to, &buffer[self.start..due])?;
            self.whole = self.whole.max(self.start);
            self.tidy(pool);
        }
        Ok(!self.waits())
    }

    fn tidy(&mut self, pool: &mut Pool) {
        if self.start == self.end
            && let Some(buffer) = self.buffer.take()
        {
            (self.start, self.whole, self.end) = (0, 0, 0);
            pool.give_back(buffer);
        }
    }
}

/// How much of `bytes` could be written at present.
pub fn write_some(to: &mut impl Write, bytes: &[u8]) -> Result<usize> {
    match to.write(bytes) {
        Ok(0) => Err(ErrorKind::WriteZero.into()),
        Ok(some) => Ok(some),
        Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            Ok(0)
        }
        Err(fault) => Err(fault),
    }
}

/// A short text of our own on its way out.
#[derive(Default)]
pub struct OutputBuffer {
    text: Vec<u8>,
    written: usize,
}

impl OutputBuffer {
    pub fn add(&mut self, line: &str) {
        self.text.extend_from_slice(line.as_bytes());
        self.text.extend_from_slice(b"\r\n");
    }

    pub fn waits(&self) -> bool {
        self.written < self.text.len()
    }

    /// Some of it has been written.
    pub fn is_begun(&self) -> bool {
        self.written > 0
    }

    /// One write; true once nothing waits.
    pub fn give(&mut self, to: &mut impl Write) -> Result<bool> {
        if self.waits() {
            self.written += write_some(to, &self.text[self.written..])?;
        }
        if !self.waits() {
            *self = OutputBuffer::default();
        }
        Ok(self.text.is_empty())
    }
}
