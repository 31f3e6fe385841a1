//! Tests of the relay process: its configuration, start and health checks.
#[path = "../helper/mod.rs"]
mod helper;

mod configuration;
mod health_check;
mod shared_ids;
mod startup;
mod transition;
mod two_files;
