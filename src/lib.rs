//! Decisions of a balancer for long-lived connections. `balance` decides, within what `lanes` says
//! that routes and the settings' ration allow, and remembers clients in `keys`; the other files
//! hold types only.
pub mod balance;
pub mod deployment;
pub mod front;
pub mod ids;
pub mod keys;
pub mod lanes;
pub mod random;
mod session;
pub mod time;
