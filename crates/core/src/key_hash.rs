//! Hash function for job keys.

use std::fmt::{self, Write};

use cranberryhatch_types::{Holder, JobKey, KeyName};

/// FNV-1a over text, with a variant for whole numbers. It distributes keys well enough for an index
/// in which keys of equal hash are compared.
struct Fnv(u64);

impl Write for Fnv {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        Ok(())
    }
}

impl Fnv {
    fn number(&mut self, number: u64) {
        self.0 = (self.0 ^ number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.0 ^= self.0 >> 32;
    }
}

/// Returns the hash of a key.
pub(crate) fn key_hash(key: &JobKey) -> u64 {
    let mut hash = Fnv(0xcbf2_9ce4_8422_2325);
    // Writing to the hasher cannot fail.
    let _ = hash.write_str(key.team.as_str());
    match &key.name {
        KeyName::Own { time, text } => {
            hash.number(time.as_ms());
            let _ = hash.write_str(text);
        }
        KeyName::Issued { time, holder: Holder { instance, incarnation }, number } => {
            hash.number(time.as_ms());
            let _ = hash.write_str(instance.as_str());
            hash.number(incarnation.get());
            hash.number(*number);
        }
    }
    hash.0
}
