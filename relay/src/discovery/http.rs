//! HTTP/1.1 for a watch: encodes the request, and decodes the head and the body of the response.
//! Performs no I/O.
use crate::discovery::error::HttpError;
use crate::output_buffer::OutputBuffer;
use std::net::SocketAddr;

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 32;
/// Chunks must be smaller than this. Thousands of endpoints need less.
const MAX_CHUNK_BYTES: u64 = 16 << 20;
/// Size of the line end that follows a chunk's data.
const CHUNK_END_BYTES: usize = 2;

/// Returns the request that opens a watch. With a generation, it asks for the changes since that
/// generation.
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

/// Removes the response head from the front of `received`, and returns the decoder for the body
/// that follows. Returns `None` while the head is incomplete.
///
/// # Errors
/// Returns an error if the head is malformed, too long, or has a status other than 200.
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

/// Removes the transfer coding from a response body.
pub(crate) enum BodyDecoder {
    Plain,
    /// `remaining` counts the bytes of the current chunk, its line end included, that have not been
    /// decoded yet. It is zero while a chunk size is awaited.
    Chunked {
        remaining: usize,
    },
}

impl BodyDecoder {
    /// Moves the part of the body that has arrived from `received` to `text`.
    ///
    /// # Errors
    /// Returns an error if the coding is malformed, or once the last chunk has arrived. The body
    /// before that is in `text`.
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
