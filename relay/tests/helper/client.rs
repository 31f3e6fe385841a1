//! Clients of the relay under test.
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU16, Ordering};

/// Returns an `OPEN` line with a new session id.
pub(crate) fn open_line(items: &str) -> String {
    static LAST: AtomicU16 = AtomicU16::new(0);
    format!(
        "OPEN {:016x} 7f3a9c21e0b4d655 {items}\r\n",
        LAST.fetch_add(1, Ordering::Relaxed)
    )
}

pub(crate) struct Client {
    pub(crate) lines: BufReader<TcpStream>,
}

impl Client {
    pub(crate) fn send(&mut self, text: &str) {
        self.lines.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Returns the next line without its line ending, or `end` or `reset` if the connection is
    /// over.
    pub(crate) fn next_line(&mut self) -> String {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) => "end".into(),
            Ok(_) => line.trim_end().into(),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => "reset".into(),
            Err(error) => panic!("{error}"),
        }
    }

    pub(crate) fn finish_sending(&self) {
        self.lines.get_ref().shutdown(Shutdown::Write).unwrap();
    }
}
