//! Identifiers that are local to a shard.

/// Payload or result of a task.
pub type Payload = bytes::Bytes;

/// Identifies a job within its shard; numbers ascend in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobNo(pub u64);

/// Identifies an attempt within its shard; numbers ascend in order of start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Identifies a caller's open request that waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

impl From<JobNo> for u64 {
    fn from(no: JobNo) -> Self {
        no.0
    }
}

impl From<AttemptId> for u64 {
    fn from(attempt: AttemptId) -> Self {
        attempt.0
    }
}

impl From<Ticket> for u64 {
    fn from(ticket: Ticket) -> Self {
        ticket.0
    }
}
