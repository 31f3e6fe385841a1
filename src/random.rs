//! A seeded pseudo-random number generator: the same seed gives the same decisions.

/// A generator of pseudo-random numbers from a given seed.
#[derive(Clone, Debug)]
pub struct Rng(oorandom::Rand64);

impl Rng {
    /// Creates a generator whose sequence depends on `seed` alone.
    pub fn from_seed(seed: u64) -> Rng {
        Rng(oorandom::Rand64::new(u128::from(seed)))
    }

    /// Returns a number from 0 up to, but not including, 1.
    pub fn unit_f64(&mut self) -> f64 {
        self.0.rand_float()
    }

    /// Returns a whole number from 0 up to, but not including, `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0.rand_range(0..limit)
    }
}

impl Default for Rng {
    fn default() -> Rng {
        Rng::from_seed(0)
    }
}
