//! Cancels, and requests of answered jobs that arrive again.

use cranberryhatch_fleet::CancelOutcome;
use cranberryhatch_types::Time;

use super::{Attempt, Request, World};

/// Tickets of cancels start here, above those of submissions.
const CANCEL_TICKETS: u64 = 1 << 32;

impl World {
    /// Cancels the job of a request at an instance, which need not have it; returns the ticket.
    pub fn cancel(&mut self, request: usize, node: usize) -> u64 {
        let name = self.requests[request].job.name.clone();
        let ticket = CANCEL_TICKETS + self.order;
        self.with_node(node, |n, now, out| n.cancel(ticket, &name, now, out));
        ticket
    }

    /// Returns the answer to a cancel, if there is one.
    pub fn cancel_answer(&self, ticket: u64) -> Option<CancelOutcome> {
        let answer = self.cancel_answers.iter().find(|(answered, _)| *answered == ticket);
        answer.map(|(_, outcome)| *outcome)
    }

    /// Delivers a request again at an instance, whether or not it has been answered.
    pub fn deliver_again(&mut self, request: usize, node: usize) {
        let Request { job, attempts, .. } = &self.requests[request];
        let (mut job, ticket) = (job.clone(), request as u64 * 10 + attempts.len() as u64);
        let patience = job.deadline.since(job.arrived);
        job.arrived = Time::from_ms(self.now);
        job.deadline = job.arrived + patience;
        let generation = self.instances[node].generation;
        self.requests[request].outcome = None;
        self.requests[request].attempts.push(Attempt {
            node,
            generation,
            ticket,
            answer: None,
            abandoned: false,
            half_open: false,
        });
        self.with_node(node, |n, now, out| n.submit(ticket, job, now, out));
    }
}
