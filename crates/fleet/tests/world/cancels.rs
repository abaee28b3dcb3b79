//! Cancels, and requests of answered jobs that arrive again.

use cranberryhatch_types::Time;

use super::{Attempt, Request, World};

impl World {
    /// Cancels the job of a request at an instance, which need not have it.
    pub fn cancel(&mut self, request: usize, node: usize) {
        let name = self.requests[request].job.name.clone();
        self.with_node(node, |n, now, out| n.cancel(&name, now, out));
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
