//! Golden tests: compare everything that the relay process writes or reads with text that was
//! recorded from an earlier build. They use the built program over sockets and files only, so that
//! names inside the program can change freely.
//!
//! `RECORD_GOLDEN=1 cargo test -p thistlecroft-relay --test golden` writes the recorded files anew.
//! Such a run always fails, so that it can't be mistaken for a comparison.
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
