//! A pool of buffers of one size. A connection holds one only while bytes wait in it, so that
//! connections on which nothing happens cost no memory beyond their sockets.

/// Bytes that a buffer holds.
pub(crate) const BUFFER_SIZE: usize = 8 * 1024;

/// A buffer of the pool.
pub(crate) type Buffer = Box<[u8; BUFFER_SIZE]>;

/// A limited number of buffers, made when they are first needed.
pub(crate) struct BufferPool {
    spare: Vec<Buffer>,
    /// How many more may be made.
    remaining: usize,
}

impl BufferPool {
    /// A pool that makes at most `capacity` buffers.
    pub(crate) fn new(capacity: usize) -> BufferPool {
        BufferPool {
            spare: Vec::new(),
            remaining: capacity,
        }
    }

    /// A buffer, or none where the limit is reached: the caller stops reading until one is
    /// returned.
    pub(crate) fn take(&mut self) -> Option<Buffer> {
        if let Some(buffer) = self.spare.pop() {
            return Some(buffer);
        }
        self.remaining = self.remaining.checked_sub(1)?;
        Some(Box::new([0; BUFFER_SIZE]))
    }

    /// Returns a buffer that [`BufferPool::take`] gave out.
    pub(crate) fn give_back(&mut self, buffer: Buffer) {
        self.spare.push(buffer);
    }

    /// Whether [`BufferPool::take`] would give a buffer.
    pub(crate) fn has_available(&self) -> bool {
        self.remaining > 0 || !self.spare.is_empty()
    }
}
