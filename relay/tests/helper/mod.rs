//! Starts the program and talks to it over loopback, with small stand-ins for backends and the
//! discovery agent. Every wait has a time limit, and waits for an event rather than for a time.
#![allow(dead_code, reason = "each test target uses a part of the helper")]
mod backend;
mod client;
mod config;
mod discovery;
pub(crate) mod host;
mod relay;
mod repeats;
mod wait;

pub(crate) use backend::*;
#[allow(unused_imports, reason = "some test targets use no client")]
pub(crate) use client::*;
pub(crate) use config::*;
pub(crate) use discovery::*;
pub(crate) use relay::*;
#[allow(unused_imports, reason = "some test targets repeat no request")]
pub(crate) use repeats::*;
pub(crate) use wait::*;
