//! Lines in one direction of a connection.
use super::{LineBuffer, LineTooLong, MAX_LINE_BYTES, ReadOutcome};
use crate::buffers::{BUFFER_SIZE, BufferPool};

#[test]
fn lines_split_anywhere_come_out_whole() {
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
            // Only whole lines are written, so that a line of the relay's own fits between.
            buffer.write_to(&mut out, &mut pool).unwrap();
            assert!(out.is_empty() || out.ends_with(b"\n"), "pieces of {size}");
        }
        assert_eq!(lines, [&b"one"[..], b"two", b""]);
        assert!(
            !pool.has_available(),
            "a waiting beginning holds the buffer"
        );
        assert_eq!(
            buffer.read_from(&mut &b""[..], &mut pool).unwrap(),
            ReadOutcome::End
        );
        assert!(buffer.write_to(&mut out, &mut pool).unwrap());
        assert_eq!(out, text, "pieces of {size}");
        assert!(pool.has_available(), "nothing waits, nothing is held");
    }
}

#[test]
fn long_lines_are_errors_and_an_empty_pool_starves() {
    // Length of a line with its ending, and whether it passes.
    for (length, passes) in [
        (MAX_LINE_BYTES, true),
        (MAX_LINE_BYTES + 1, false),
        (BUFFER_SIZE, false),
    ] {
        let line: Vec<u8> = [vec![b'x'; length - 1], vec![b'\n']].concat();
        let (mut buffer, mut pool) = (LineBuffer::default(), BufferPool::new(1));
        buffer.read_from(&mut &line[..], &mut pool).unwrap();
        assert_eq!(
            buffer.next_line().map(|line| line.is_some()),
            if passes { Ok(true) } else { Err(LineTooLong) }
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
