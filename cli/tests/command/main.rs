//! End-to-end tests of the command: what it prints, which files it writes, and its exit codes.
mod demo;
mod experiment_run;
mod helper;
mod logging;
mod mistakes;
mod operator_config;
mod peers;
mod scale;
#[path = "../../../tests/unused_address/mod.rs"]
mod unused_address;
