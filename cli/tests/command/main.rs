//! The command as a user meets it: what it prints, leaves behind, and ends with.
mod demo;
mod experiment_run;
mod helper;
mod logging;
mod mistakes;
mod operator_config;
mod peers;
mod scale;
