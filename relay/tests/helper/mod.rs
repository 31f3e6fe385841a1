//! Starts the program and speaks to it over loopback, with small stand-ins for backends and
//! discovery. Every wait ends by itself; what is waited for is an event, never a span.
#![allow(
    dead_code,
    unused_imports,
    reason = "each program of tests uses a part of it"
)]
mod backend;
mod client;
mod config;
mod discovery;
pub mod host;
mod relay;
mod wait;

pub use backend::*;
pub use client::*;
pub use config::*;
pub use discovery::*;
pub use relay::*;
pub use wait::*;
