//! The former path of [`crate::attempt`].
pub use crate::attempt::*;
