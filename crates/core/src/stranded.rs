//! Refuses jobs while drained zones leave the shard without any endpoint.

use cranberryhatch_types::{JobKey, Span};

use crate::{Answer, Code, Dispatcher, JobNo, context::Context};

/// Retry delay suggested to refused callers. A zone is restored by an operator, so earlier retries
/// would only add load.
const RETRY: Span = Span::from_secs(5);

impl Dispatcher {
    /// Gives up all jobs that have not started while no endpoint may be used.
    pub(crate) fn refuse_stranded(&mut self, ctx: &mut Context) {
        if !self.cluster.is_stranded() {
            return;
        }
        let jobs = self.jobs.iter().filter(|(_, job)| job.is_unstarted());
        let jobs: Vec<JobNo> = jobs.map(|(no, _)| no).collect();
        for no in jobs {
            self.give_up(ctx, no, Code::ZoneDrained);
        }
    }
}

/// Creates the refusal of a job that no endpoint may run.
pub(crate) fn refusal(key: JobKey, exclusive: bool) -> Answer {
    Answer::unstarted(key, Code::ZoneDrained, exclusive)
        .retry_after(RETRY)
        .detail("every availability zone with endpoints is drained")
}
