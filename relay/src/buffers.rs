//! A pool of buffers of one size. A connection holds a buffer only while bytes wait in it, so that
//! quiet connections cost no memory beyond their sockets.

/// The size of a buffer in bytes.
pub(crate) const BUFFER_SIZE: usize = 8 * 1024;

/// A buffer of the pool.
pub(crate) type Buffer = Box<[u8; BUFFER_SIZE]>;

/// A limited number of buffers, each allocated when it is first needed.
pub(crate) struct BufferPool {
    /// The allocated buffers that are not in use.
    free: Vec<Buffer>,
    /// The number of buffers that may still be allocated.
    unallocated: usize,
}

impl BufferPool {
    /// Creates a pool of at most `capacity` buffers.
    pub(crate) fn new(capacity: usize) -> BufferPool {
        BufferPool {
            free: Vec::new(),
            unallocated: capacity,
        }
    }

    /// Returns a buffer, or none if all are in use. The caller then stops reading until one is
    /// released.
    pub(crate) fn acquire(&mut self) -> Option<Buffer> {
        if let Some(buffer) = self.free.pop() {
            return Some(buffer);
        }
        self.unallocated = self.unallocated.checked_sub(1)?;
        Some(Box::new([0; BUFFER_SIZE]))
    }

    /// Takes back a buffer that [`BufferPool::acquire`] returned.
    pub(crate) fn release(&mut self, buffer: Buffer) {
        self.free.push(buffer);
    }

    /// Returns whether [`BufferPool::acquire`] would return a buffer.
    pub(crate) fn has_available(&self) -> bool {
        self.unallocated > 0 || !self.free.is_empty()
    }
}
