//! Memory use of this process.

/// Page size of all supported machines.
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory in bytes, or 0 if the system does not report it.
#[must_use]
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
