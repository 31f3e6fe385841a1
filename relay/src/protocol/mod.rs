//! The line protocol.
mod first_line;

pub use first_line::*;
