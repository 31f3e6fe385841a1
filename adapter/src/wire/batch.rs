//! Batches: a header, event records of a fixed size, and a tail that events refer to.
use crate::error::{BatchError, EventError};
use std::io::{ErrorKind, Read};

const EVENT_BYTES: usize = 48;
const ENTRY_BYTES: usize = 24;
const HEADER_BYTES: usize = 16;
/// The size of the record count, at the start of the body.
const COUNT_BYTES: usize = 4;

/// A batch of events that happened at the same time.
pub(crate) struct Batch {
    pub(crate) number: u32,
    /// The time of the events, in microseconds.
    pub(crate) clock: u64,
    /// The number of event records.
    records: usize,
    body: Vec<u8>,
}

/// A record or entry of fixed size. Numbers are in little-endian order.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    pub(crate) fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }

    pub(crate) fn u16(self, offset: usize) -> u16 {
        u16::from_le_bytes(self.array(offset))
    }

    pub(crate) fn u32(self, offset: usize) -> u32 {
        u32::from_le_bytes(self.array(offset))
    }

    pub(crate) fn u64(self, offset: usize) -> u64 {
        u64::from_le_bytes(self.array(offset))
    }

    pub(crate) fn f32(self, offset: usize) -> f32 {
        f32::from_le_bytes(self.array(offset))
    }

    pub(crate) fn array<const N: usize>(self, offset: usize) -> [u8; N] {
        self.0[offset..offset + N]
            .try_into()
            .expect("a slice of N bytes is an array of N bytes")
    }
}

impl Batch {
    /// Returns the event records.
    pub(crate) fn events(&self) -> impl Iterator<Item = Fields<'_>> {
        self.body[COUNT_BYTES..self.tail_offset()]
            .chunks_exact(EVENT_BYTES)
            .map(Fields)
    }

    fn tail_offset(&self) -> usize {
        COUNT_BYTES + self.records * EVENT_BYTES
    }

    /// Returns a part of the tail, which errors call `part`. `bytes` is `None` where the length
    /// overflows.
    fn tail(
        &self,
        offset: u32,
        bytes: Option<usize>,
        part: &'static str,
    ) -> Result<&[u8], EventError> {
        let tail = &self.body[self.tail_offset()..];
        let start = offset as usize;
        let end = bytes.and_then(|bytes| bytes.checked_add(start));
        end.and_then(|end| tail.get(start..end))
            .ok_or(EventError::OutsideTail { part })
    }

    /// Returns text in the tail; `part` names it in errors.
    pub(crate) fn text(
        &self,
        offset: u32,
        bytes: u32,
        part: &'static str,
    ) -> Result<&[u8], EventError> {
        self.tail(offset, Some(bytes as usize), part)
    }

    /// Returns entries of the endpoint list in the tail.
    pub(crate) fn entries(
        &self,
        offset: u32,
        count: u32,
    ) -> Result<impl Iterator<Item = Fields<'_>>, EventError> {
        let bytes = (count as usize).checked_mul(ENTRY_BYTES);
        let entries = self.tail(offset, bytes, "endpoint list")?;
        Ok(entries.chunks_exact(ENTRY_BYTES).map(Fields))
    }
}

/// Reads one batch, or returns `None` where the input ends before it.
pub(crate) fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, BatchError> {
    let Some(header) = read_header(input)? else {
        return Ok(None);
    };
    let fields = Fields(&header);
    let (batch, clock, length) = (fields.u32(0), fields.u64(4), fields.u32(12) as usize);
    let body = read_body(input, batch, length)?;
    if length < COUNT_BYTES {
        return Err(BatchError::NoRecordCount { batch, length });
    }
    let records = Fields(&body).u32(0) as usize;
    let fits = |bytes: usize| bytes <= length - COUNT_BYTES;
    if !records.checked_mul(EVENT_BYTES).is_some_and(fits) {
        return Err(BatchError::TooManyRecords {
            batch,
            records,
            length,
        });
    }
    Ok(Some(Batch {
        number: batch,
        clock,
        records,
        body,
    }))
}

fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_BYTES]>, BatchError> {
    let mut header = [0u8; HEADER_BYTES];
    let mut filled = 0;
    while filled < header.len() {
        match input.read(&mut header[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => return Err(BatchError::IncompleteHeader { bytes: filled }),
            Ok(count) => filled += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(BatchError::Input(error)),
        }
    }
    Ok(Some(header))
}

fn read_body(input: &mut impl Read, batch: u32, length: usize) -> Result<Vec<u8>, BatchError> {
    // The buffer grows as bytes arrive, so that a wrong length can't reserve memory for bytes that
    // never come.
    let mut body = Vec::new();
    input
        .take(length as u64)
        .read_to_end(&mut body)
        .map_err(BatchError::Input)?;
    if body.len() < length {
        return Err(BatchError::IncompleteBody {
            batch,
            bytes: body.len(),
            length,
        });
    }
    Ok(body)
}
