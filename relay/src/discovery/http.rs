//! The HTTP/1.1 of a watch: its request, the head of the response, and the body without its chunks.
//! No I/O.
use crate::discovery::error::HttpError;
use crate::output_buffer::OutputBuffer;
use std::net::SocketAddr;

/// The longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 32;
/// The largest chunk. Thousands of endpoints fit in less.
const MAX_CHUNK_BYTES: u64 = 16 << 20;
/// The line end that follows a chunk's data.
const CHUNK_END_BYTES: usize = 2;

/// The request that opens a watch; with a generation it asks for what has changed since.
pub(crate) fn watch_request(agent: SocketAddr, since: Option<u64>) -> OutputBuffer {
    let since = since.map(|generation| format!("&since={generation}"));
    let since = since.unwrap_or_default();
    let mut request = OutputBuffer::default();
    request.push_line(&format!("GET /api/targets?follow=1{since} HTTP/1.1"));
    request.push_line(&format!("Host: {agent}"));
    request.push_line("Accept: application/json");
    request.push_line("");
    request
}

/// Takes the head of a response off the front of `received`; none while it is incomplete.
///
/// # Errors
/// It is no head, has no end, or has another status than 200.
pub(crate) fn take_head(received: &mut Vec<u8>) -> Result<Option<BodyDecoder>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let length = match head.parse(received)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if received.len() < MAX_HEAD_BYTES => return Ok(None),
        httparse::Status::Partial => return Err(HttpError::HeadTooLong),
    };
    if head.code != Some(200) {
        return Err(HttpError::Status(head.code.unwrap_or_default()));
    }
    let is_chunked = head.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("transfer-encoding")
            && header.value.to_ascii_lowercase().ends_with(b"chunked")
    });
    received.drain(..length);
    Ok(Some(if is_chunked {
        BodyDecoder::Chunked { remaining: 0 }
    } else {
        BodyDecoder::Plain
    }))
}

/// Takes the transfer coding off the body of a response.
pub(crate) enum BodyDecoder {
    Plain,
    /// Bytes of the present chunk that are still to come, with the line end after it; none while a
    /// chunk's size is awaited.
    Chunked {
        remaining: usize,
    },
}

impl BodyDecoder {
    /// Moves what has come of the body from `received` to `text`.
    ///
    /// # Errors
    /// The coding is broken, or the last chunk has come. What came before is in `text`.
    pub(crate) fn decode(
        &mut self,
        received: &mut Vec<u8>,
        text: &mut Vec<u8>,
    ) -> Result<(), HttpError> {
        let BodyDecoder::Chunked { remaining } = self else {
            text.append(received);
            return Ok(());
        };
        let mut position = 0;
        loop {
            if *remaining > 0 {
                let available = (received.len() - position).min(*remaining);
                let data = available.min(remaining.saturating_sub(CHUNK_END_BYTES));
                text.extend_from_slice(&received[position..position + data]);
                position += available;
                *remaining -= available;
                if *remaining > 0 {
                    break;
                }
            }
            match httparse::parse_chunk_size(&received[position..]) {
                Ok(httparse::Status::Complete((_, 0))) => return Err(HttpError::LastChunk),
                Ok(httparse::Status::Complete((length, size))) if size < MAX_CHUNK_BYTES => {
                    position += length;
                    *remaining = size as usize + CHUNK_END_BYTES;
                }
                Ok(httparse::Status::Partial) => break,
                _ => return Err(HttpError::ChunkSize),
            }
        }
        received.drain(..position);
        Ok(())
    }
}
