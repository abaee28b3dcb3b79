//! Limits retries to a share of starts.

use cranberryhatch_types::{Ratio, Time};

/// Tokens per retry; ratios are given in thousandths.
const RETRY_COST: u64 = 1_000;
/// Maximum number of tokens, enough for a burst of ten retries.
const MAX_TOKENS: u64 = 10 * RETRY_COST;

/// Token bucket that is filled by starts and emptied by retries.
///
/// One additional retry per second is granted. Without it a refused task of an idle shard, which
/// fills the bucket no more, would wait until its deadline.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: u64,
    // When the tokens per time were last added.
    filled: Time,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS, filled: Time::ZERO }
    }
}

impl RetryBudget {
    /// Adds the share of a retry that one start allows.
    pub(crate) fn started(&mut self, ratio: Ratio) {
        self.add(u64::from(ratio.thousandths()));
    }

    /// Takes the tokens of one retry; returns `false` if there are too few.
    pub(crate) fn take(&mut self, now: Time) -> bool {
        self.add(now.since(self.filled).as_ms().saturating_mul(RETRY_COST) / 1_000);
        self.filled = now;
        let enough = self.tokens >= RETRY_COST;
        if enough {
            self.tokens -= RETRY_COST;
        }
        enough
    }

    fn add(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_add(tokens).min(MAX_TOKENS);
    }
}
