//! Results of claims on keys chosen by callers.

use cranberryhatch_types::{ClaimNo, Holder, JobKey};

use crate::{
    Answer, ClaimOutcome, Code, Command, Counter, Digest, Dispatcher, JobNo, Outcome,
    abandoned::{AbandonedClaim, Write},
    context::Context,
};

impl Dispatcher {
    /// Handles the platform's response to a claim.
    ///
    /// A response that is delivered twice, or after its job has ended, is ignored: a later
    /// submission of the same key waits for the response to its own claim.
    pub(crate) fn handle_claim_outcome(
        &mut self,
        ctx: &mut Context,
        key: &JobKey,
        number: ClaimNo,
        outcome: ClaimOutcome,
    ) {
        let Some(no) = self.jobs.find(key) else {
            return self.handle_late_claim(ctx, key, number, &outcome);
        };
        let Some(job) = self.jobs.get_mut(no) else { return };
        if !job.awaits(number) {
            return ctx.count(Counter::ClaimAnswersLate);
        }
        match outcome {
            ClaimOutcome::Granted => {
                job.grant();
                self.abandoned.remove(key);
                self.queue_all(no);
            }
            ClaimOutcome::Held { holder, digest, answer } => {
                self.handle_claim_held(ctx, no, holder, &digest, answer);
            }
            // The claim may have taken effect, and a successor may have started the job.
            ClaimOutcome::Unavailable if !self.lease.is_exclusive(ctx.now) => {
                self.end_uncertain(ctx, no, Code::PlatformUnavailable);
            }
            ClaimOutcome::Unavailable => {
                let (code, exclusive) = (Code::PlatformUnavailable, job.exclusive);
                let answer = Answer::unstarted(key.clone(), code, exclusive);
                self.dismiss(ctx, no, &answer.retry_after(Self::RETRY_AFTER));
                self.abandon(ctx, key, code, exclusive);
            }
        }
    }

    fn handle_claim_held(
        &mut self,
        ctx: &mut Context,
        no: JobNo,
        holder: Holder,
        digest: &Digest,
        answer: Option<Box<Answer>>,
    ) {
        let Some(job) = self.jobs.get(no) else { return };
        let (key, own) = (job.spec.key.clone(), job.spec.digest);
        if own != *digest {
            return self.dismiss(ctx, no, &Answer::reused(key));
        }
        if let Some(answer) = answer {
            return self.dismiss(ctx, no, &answer);
        }
        let unknown = |code| {
            Answer::new(key.clone(), Outcome::Unknown).code(code).retry_after(Self::RETRY_AFTER)
        };
        if holder == self.me.holder {
            if let Some(claim) = self.abandoned.find(&key) {
                // The row stems from an earlier submission to this holder whose claim took effect
                // late. Removing it later could hit a new claim, so this submission is not run
                // either. Since the row belongs to this holder, no other instance holds the job.
                let code = claim.code;
                let answer = Answer::not_run(key.clone(), code).retry_after(Self::RETRY_AFTER);
                self.dismiss(ctx, no, &answer);
                return self.abandon(ctx, &key, code, true);
            }
            return self.dismiss(ctx, no, &unknown(Code::KeyUnknown));
        }
        if holder.instance == self.me.holder.instance {
            return self.dismiss(ctx, no, &unknown(Code::HolderLost));
        }
        self.abandoned.remove(&key);
        let targets = self.take_waiters(no);
        self.dismiss(ctx, no, &unknown(Code::HolderUnreachable));
        self.forward(ctx, key, holder, Some(own), targets, false);
    }

    /// Handles the response to a claim whose job has already ended.
    fn handle_late_claim(
        &mut self,
        ctx: &mut Context,
        key: &JobKey,
        number: ClaimNo,
        outcome: &ClaimOutcome,
    ) {
        let outstanding = Write::Outstanding(number);
        let Some(claim) = self.abandoned.find(key).filter(|claim| claim.write == outstanding)
        else {
            return ctx.count(Counter::ClaimAnswersLate);
        };
        let (code, exclusive) = (claim.code, claim.exclusive);
        match outcome {
            ClaimOutcome::Held { holder, .. } if *holder != self.me.holder => {
                self.abandoned.remove(key);
            }
            ClaimOutcome::Granted | ClaimOutcome::Held { .. } => {
                self.abandon(ctx, key, code, true);
            }
            ClaimOutcome::Unavailable => self.abandon(ctx, key, code, exclusive),
        }
    }

    /// Has the row of an abandoned claim removed, even if the row appears only later.
    fn abandon(&mut self, ctx: &mut Context, key: &JobKey, code: Code, exclusive: bool) {
        ctx.push(Command::Release(key.clone()));
        let number = self.abandoned.find(key).map_or(0, |claim| claim.number);
        self.abandoned.remove(key);
        let claim = AbandonedClaim { code, exclusive, write: Write::Lost, number };
        self.abandoned.add(key, claim);
    }
}
