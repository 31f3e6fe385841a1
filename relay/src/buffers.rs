//! Buffers of one size from a pool. A connection holds one only while bytes wait in it, so that
//! standing connections cost no memory beyond their sockets.

pub const SIZE: usize = 8 * 1024;

pub type Buffer = Box<[u8; SIZE]>;

pub struct Pool {
    spare: Vec<Buffer>,
    left: usize,
}

impl Pool {
    pub fn new(most: usize) -> Pool {
        Pool {
            spare: Vec::new(),
            left: most,
        }
    }

    /// None where the limit is reached: whoever asks stops reading until one comes back.
    pub fn take(&mut self) -> Option<Buffer> {
        if let Some(buffer) = self.spare.pop() {
            return Some(buffer);
        }
        self.left = self.left.checked_sub(1)?;
        Some(Box::new([0; SIZE]))
    }

    pub fn give_back(&mut self, buffer: Buffer) {
        self.spare.push(buffer);
    }

    pub fn has_some(&self) -> bool {
        self.left > 0 || !self.spare.is_empty()
    }
}
