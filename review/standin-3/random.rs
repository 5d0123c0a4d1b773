//! Random numbers with a seed (xorshift).

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 16
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// A number from 0 to 1.
    pub fn part(&mut self) -> f64 {
        self.below(1 << 20) as f64 / f64::from(1 << 20)
    }
}
