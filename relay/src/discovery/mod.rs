//! Service discovery: the endpoint list as the agent tells it.
pub mod poll_schedule;
pub mod watch;
