//! Frames of the wire: checked reads from a batch, and the records of a reply.
use std::io::{ErrorKind, Read};

pub const EVENT: usize = 48;
pub const ACTION: usize = 24;
pub const ENTRY: usize = 24;
const HEADER: usize = 20;

pub struct Batch {
    pub number: u32,
    pub clock: u64,
    records: usize,
    body: Vec<u8>,
}

/// A record or entry of fixed size; the fields lie where the page's tables put them.
#[derive(Clone, Copy)]
pub struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    pub fn u8(self, at: usize) -> u8 {
        self.0[at]
    }

    pub fn u16(self, at: usize) -> u16 {
        u16::from_le_bytes(self.array(at))
    }

    pub fn u32(self, at: usize) -> u32 {
        u32::from_le_bytes(self.array(at))
    }

    pub fn u64(self, at: usize) -> u64 {
        u64::from_le_bytes(self.array(at))
    }

    pub fn f32(self, at: usize) -> f32 {
        f32::from_le_bytes(self.array(at))
    }

    pub fn array<const N: usize>(self, at: usize) -> [u8; N] {
        self.0[at..at + N]
            .try_into()
            .expect("the field tables stay inside a record")
    }
}

impl Batch {
    pub fn events(&self) -> impl Iterator<Item = Fields<'_>> {
        self.body[4..4 + self.records * EVENT]
            .chunks_exact(EVENT)
            .map(Fields)
    }

    fn tail(&self, at: u32, bytes: Option<usize>, what: &str) -> Result<&[u8], String> {
        let tail = &self.body[4 + self.records * EVENT..];
        let end = bytes.and_then(|bytes| bytes.checked_add(at as usize));
        end.and_then(|end| tail.get(at as usize..end))
            .ok_or_else(|| format!("{what} reaches past the tail"))
    }

    pub fn text(&self, at: u32, bytes: u32, what: &str) -> Result<&[u8], String> {
        self.tail(at, Some(bytes as usize), what)
    }

    pub fn entries(&self, at: u32, count: u32) -> Result<impl Iterator<Item = Fields<'_>>, String> {
        let bytes = (count as usize).checked_mul(ENTRY);
        Ok(self
            .tail(at, bytes, "list of entries")?
            .chunks_exact(ENTRY)
            .map(Fields))
    }
}

/// None where input ends between frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, String> {
    let mut header = [0u8; HEADER - 4];
    let mut have = 0;
    while have < header.len() {
        match input.read(&mut header[have..]) {
            Ok(0) if have == 0 => return Ok(None),
            Ok(0) => {
                return Err(format!(
                    "input ends inside a batch header, after {have} bytes"
                ));
            }
            Ok(more) => have += more,
            Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
            Err(fault) => return Err(format!("input: {fault}")),
        }
    }
    let fields = Fields(&header);
    let (number, clock, length) = (fields.u32(0), fields.u64(4), fields.u32(12) as usize);
    // Grown as bytes come, so that a false length can't claim memory that is never filled.
    let mut body = Vec::new();
    input
        .take(length as u64)
        .read_to_end(&mut body)
        .map_err(|fault| format!("input: {fault}"))?;
    if body.len() < length {
        return Err(format!(
            "batch {number}: cut off after {} of {length} bytes",
            body.len()
        ));
    }
    if length < 4 {
        return Err(format!(
            "batch {number}: length {length} has no room for the record count"
        ));
    }
    let records = Fields(&body).u32(0) as usize;
    if records
        .checked_mul(EVENT)
        .is_none_or(|bytes| bytes > length - 4)
    {
        return Err(format!(
            "batch {number}: {records} records do not fit in {length} bytes"
        ));
    }
    Ok(Some(Batch {
        number,
        clock,
        records,
        body,
    }))
}

#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

/// The fields of one action, from the byte behind its code; what is left out stays zero.
pub struct Action {
    bytes: [u8; ACTION],
    used: usize,
}

impl Action {
    pub fn new(code: u16, relay: u16) -> Action {
        Action {
            bytes: [0; ACTION],
            used: 0,
        }
        .with(&code.to_le_bytes())
        .with(&relay.to_le_bytes())
    }

    pub fn with(mut self, field: &[u8]) -> Action {
        self.bytes[self.used..self.used + field.len()].copy_from_slice(field);
        self.used += field.len();
        self
    }
}

impl Reply {
    pub fn push(&mut self, action: Action) {
        self.records.extend_from_slice(&action.bytes);
    }

    pub fn push_text(&mut self, action: Action, text: &str) {
        let at = (self.tail.len() as u32).to_le_bytes();
        self.push(action.with(&at).with(&(text.len() as u32).to_le_bytes()));
        self.tail.extend_from_slice(text.as_bytes());
    }

    pub fn bytes(&self, batch: u32) -> Vec<u8> {
        let length = 4 + self.records.len() + self.tail.len();
        let count = (self.records.len() / ACTION) as u32;
        let header = [
            batch.to_le_bytes(),
            (length as u32).to_le_bytes(),
            count.to_le_bytes(),
        ]
        .concat();
        [header, self.records.clone(), self.tail.clone()].concat()
    }
}
