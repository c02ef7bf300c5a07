//! A hash of all that happened, in order: equal runs have equal ones. FNV-1a (64 bit), as published.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trace(u64);

impl Default for Trace {
    fn default() -> Trace {
        Trace(0xcbf2_9ce4_8422_2325)
    }
}

impl Trace {
    pub fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    pub fn number(&mut self, number: i64) {
        self.add(&number.to_le_bytes());
    }

    pub fn hash(&self) -> u64 {
        self.0
    }
}
