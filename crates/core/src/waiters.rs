//! Requests that wait for the answer to a job.

use cranberryhatch_schema::peer::{ForwardReply, envelope::Body};
use cranberryhatch_types::{ShardId, Span, Time};

use crate::{Answer, ChunkMap, Command, JobNo, SlabMap, Ticket};

/// Recipient of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// A caller of this instance.
    Caller(Ticket),
    /// A shard of another instance that forwarded a request.
    Peer {
        /// The forwarding shard.
        shard: ShardId,
        /// Number of its request.
        request: u64,
    },
}

impl Target {
    /// Returns the command that delivers an answer.
    pub(crate) fn reply(self, answer: Answer) -> Command {
        match self {
            Self::Caller(ticket) => Command::Reply { ticket, answer },
            Self::Peer { shard, request } => {
                let reply = ForwardReply {
                    request,
                    known: true,
                    outcome: answer.outcome.to_string(),
                    code: answer.code.map(|code| code.to_string()).unwrap_or_default(),
                    detail: answer.detail,
                    retry_ms: answer.retry_after.map_or(0, Span::as_ms),
                    results: answer.results.iter().map(|result| result.to_vec()).collect(),
                };
                Command::Send { to: shard, body: Body::ForwardReply(reply) }
            }
        }
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    /// Recipient of the answer.
    pub(crate) target: Target,
    /// When to reply that the job is still pending.
    pub(crate) until: Time,
    /// The job.
    pub(crate) job: JobNo,
}

/// Waiting requests by number and by ticket.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    waiters: SlabMap<u64, Waiter>,
    tickets: ChunkMap<Ticket, u64>,
    next: u64,
}

impl Waiters {
    /// Adds a request and returns its number.
    pub(crate) fn add(&mut self, waiter: Waiter) -> u64 {
        let no = self.next;
        self.next += 1;
        if let Target::Caller(ticket) = waiter.target {
            self.tickets.insert(ticket, no);
        }
        self.waiters.insert(no, waiter);
        no
    }

    /// Removes and returns a request.
    pub(crate) fn remove(&mut self, no: u64) -> Option<Waiter> {
        let waiter = self.waiters.remove(&no)?;
        if let Target::Caller(ticket) = &waiter.target {
            self.tickets.remove(ticket);
        }
        Some(waiter)
    }

    /// Returns whether a request is still waiting.
    pub(crate) fn has(&self, no: u64) -> bool {
        self.waiters.get(&no).is_some()
    }

    /// Returns the number of the request with a ticket.
    pub(crate) fn of_ticket(&self, ticket: Ticket) -> Option<u64> {
        self.tickets.get(&ticket).copied()
    }
}
