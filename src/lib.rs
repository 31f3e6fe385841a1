//! Decisions of a balancer for long-lived connections. `balance` decides; the other files hold types only.
pub mod balance;
pub mod deployment;
pub mod front;
pub mod ids;
pub mod units;
