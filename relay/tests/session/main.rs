//! Tests of sessions against the built relay program, from a client's first line to the session's
//! end.
#[path = "../helper/mod.rs"]
mod helper;

mod descriptors;
mod established;
mod handshake;
mod health_check_descriptors;
mod inherited;
mod memory;
mod placement;
mod repeats;
mod shutdown;
