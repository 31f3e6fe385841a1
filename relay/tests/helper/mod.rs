//! Starts the program and speaks to it over loopback, with small stand-ins for backends and
//! discovery. Every wait ends by itself; what is waited for is an event, never a span.
#![allow(dead_code, reason = "each program of tests uses a part of it")]
mod backend;
mod client;
mod config;
mod discovery;
pub(crate) mod host;
mod relay;
mod wait;

pub(crate) use backend::*;
#[allow(unused_imports, reason = "some programs name no item of it")]
pub(crate) use client::*;
pub(crate) use config::*;
pub(crate) use discovery::*;
pub(crate) use relay::*;
pub(crate) use wait::*;
