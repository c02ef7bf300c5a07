//! A hash over all events of a simulation in order, so that two runs can be compared: 64-bit FNV-1a with the
//! published offset basis and prime.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The running FNV-1a hash of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceHash(u64);

impl Default for TraceHash {
    fn default() -> TraceHash {
        TraceHash(FNV_OFFSET_BASIS)
    }
}

impl TraceHash {
    /// Adds bytes to the trace.
    pub fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Adds a number to the trace as eight bytes, little-endian.
    pub fn add_number(&mut self, number: i64) {
        self.add_bytes(&number.to_le_bytes());
    }

    /// Returns the hash of everything added so far.
    pub fn hash(&self) -> u64 {
        self.0
    }
}
