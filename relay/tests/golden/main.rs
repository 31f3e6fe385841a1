//! Golden tests: every form that leaves the relay process, or that it reads from outside, compared
//! with text that was recorded from an earlier build. They speak to the built program over sockets
//! and files only, so that names inside the program can change freely.
//!
//! `RECORD_GOLDEN=1 cargo test -p thistlecroft-relay --test golden` writes the recorded files anew;
//! such a run always fails, so that it can't be taken for a comparison.
#[path = "../helper/mod.rs"]
mod helper;

mod admin;
mod bans;
mod config;
mod discovery;
mod handover;
mod platform;
mod recorded;
mod wire;
