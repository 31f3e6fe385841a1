//! Discovery, against the built relay: the endpoint list and the watch on it.
#[path = "../helper/mod.rs"]
mod helper;

mod lists;
mod polling;
mod watch;
