//! Sessions, against the built relay: from a client's first line to its end.
#[path = "../helper/mod.rs"]
mod helper;

mod descriptors;
mod established;
mod handshake;
mod inherited;
mod placement;
mod shutdown;
