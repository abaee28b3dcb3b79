//! Finds messages that were held up on their way.

use cranberryhatch_types::{Holder, Span, Time};

/// Delay beyond the fastest message after which a message is dropped.
const LIMIT_MS: i64 = 1_000;
/// Time after which the baseline is raised by 1 ms, for clocks that drift apart.
const DRIFT: Span = Span::from_secs(1);
/// Most senders that are remembered.
const SENDERS: usize = 1_024;

/// Judges the delay of messages without clocks that agree.
///
/// The smallest difference between the receiver's and the sender's monotonic time is the delay of
/// the fastest message plus a constant. A message whose difference is much larger was held up: in
/// the buffers of a connection that stalled, or because this process was paused.
#[derive(Debug, Default)]
pub struct Punctuality {
    senders: Vec<Sender>,
}

#[derive(Debug)]
struct Sender {
    holder: Holder,
    baseline: i64,
    last: Time,
}

impl Punctuality {
    /// Whether a message that a holder sent at its time `sent` arrived without being held up.
    pub fn is_punctual(&mut self, holder: &Holder, sent: Time, now: Time) -> bool {
        let difference = now.as_ms().cast_signed().saturating_sub(sent.as_ms().cast_signed());
        let place = match self.senders.binary_search_by(|sender| sender.holder.cmp(holder)) {
            Ok(place) => place,
            Err(place) => {
                if self.senders.len() >= SENDERS {
                    self.senders.clear();
                    return self.is_punctual(holder, sent, now);
                }
                let sender = Sender { holder: holder.clone(), baseline: difference, last: now };
                self.senders.insert(place, sender);
                place
            }
        };
        let sender = &mut self.senders[place];
        let steps = now.since(sender.last).as_ms() / DRIFT.as_ms();
        if steps > 0 {
            sender.baseline = sender.baseline.saturating_add(steps.cast_signed());
            sender.last = now;
        }
        sender.baseline = sender.baseline.min(difference);
        difference.saturating_sub(sender.baseline) <= LIMIT_MS
    }
}
