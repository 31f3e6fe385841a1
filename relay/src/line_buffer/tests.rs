//! Tests of the line buffer.
use super::{LineBuffer, LineTooLong, MAX_LINE_BYTES, ReadOutcome};
use crate::buffers::{BUFFER_SIZE, BufferPool};

#[test]
fn lines_read_in_pieces_are_returned_and_written_whole() {
    let text = b"one\r\ntwo\n\r\nlast";
    for size in 1..text.len() {
        let (mut buffer, mut pool) = (LineBuffer::default(), BufferPool::new(1));
        let mut lines: Vec<Vec<u8>> = Vec::new();
        let mut out = Vec::new();
        for mut piece in text.chunks(size) {
            let length = piece.len();
            assert_eq!(
                buffer.read_from(&mut piece, &mut pool).unwrap(),
                ReadOutcome::Bytes(length)
            );
            while let Some(line) = buffer.next_line().unwrap() {
                lines.push(line.to_vec());
            }
            // Only whole lines are written, so that the relay can insert a line of its own.
            buffer.write_to(&mut out, &mut pool).unwrap();
            assert!(out.is_empty() || out.ends_with(b"\n"), "pieces of {size}");
        }
        assert_eq!(lines, [&b"one"[..], b"two", b""]);
        assert!(
            !pool.has_available(),
            "an incomplete line must hold the buffer"
        );
        assert_eq!(
            buffer.read_from(&mut &b""[..], &mut pool).unwrap(),
            ReadOutcome::End
        );
        assert!(buffer.write_to(&mut out, &mut pool).unwrap());
        assert_eq!(out, text, "pieces of {size}");
        assert!(
            pool.has_available(),
            "an empty line buffer must release its buffer"
        );
    }
}

#[test]
fn line_above_maximum_is_error_and_read_with_exhausted_pool_starves() {
    // The length of a line with its ending, and whether the line is valid.
    for (length, is_valid) in [
        (MAX_LINE_BYTES, true),
        (MAX_LINE_BYTES + 1, false),
        (BUFFER_SIZE, false),
    ] {
        let line: Vec<u8> = [vec![b'x'; length - 1], vec![b'\n']].concat();
        let (mut buffer, mut pool) = (LineBuffer::default(), BufferPool::new(1));
        buffer.read_from(&mut &line[..], &mut pool).unwrap();
        assert_eq!(
            buffer.next_line().map(|line| line.is_some()),
            if is_valid { Ok(true) } else { Err(LineTooLong) }
        );
        let mut other = LineBuffer::default();
        assert_eq!(
            other.read_from(&mut &b"x\n"[..], &mut pool).unwrap(),
            ReadOutcome::Starved
        );
        buffer.clear(&mut pool);
        assert_eq!(
            other.read_from(&mut &b"x\n"[..], &mut pool).unwrap(),
            ReadOutcome::Bytes(2)
        );
    }
}
