//! The subjects of leases.

/// The thing that a lease gives the right to act on: an opaque name of at most
/// [`MAX_SUBJECT_BYTES`] bytes.
pub type Subject = Vec<u8>;

/// The longest subject, in bytes.
pub const MAX_SUBJECT_BYTES: usize = 48;
