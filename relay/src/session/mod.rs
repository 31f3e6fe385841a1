//! Sessions: one client connection each, from accept to close.
pub mod table;
