//! Rules about answers to callers.

use crate::check::{
    Call, Evidence, Note, Reply, Rule, Verb, Violation, expected_result, starts::Starts,
};

/// Checks every answer, and that every job got one.
pub fn check(evidence: &Evidence, starts: &Starts, found: &mut Vec<Violation>) {
    let mut calls: Vec<&Call> = evidence.calls().collect();
    calls.sort_by_key(|call| (&call.key, call.sent_ms));
    for job in calls.chunk_by(|a, b| a.key == b.key) {
        for call in job {
            results(call, starts, found);
            not_run(call, job, starts, found);
        }
        outcomes(job, found);
    }
    cut_by_stop(evidence, found);
    bad_input(evidence, found);
}

fn results(call: &Call, starts: &Starts, found: &mut Vec<Violation>) {
    let wanted = if call.reply == Reply::Complete { call.tasks } else { 0 };
    if call.results.len() != wanted {
        let detail = format!("{}, {} results of {wanted}", call.reply, call.results.len());
        found.push(Violation::new(Rule::PartialAnswer, &call.key, detail));
        return;
    }
    for (index, result) in call.results.iter().enumerate() {
        let task = expected_result(&call.key, index);
        if *result != task {
            let detail = format!("task {index} has {result:?}");
            found.push(Violation::new(Rule::WrongResult, &call.key, detail));
        } else if !starts.is_finished(&task) {
            found.push(Violation::new(Rule::ResultWithoutRun, &task, &call.via));
        }
    }
}

fn bad_input(evidence: &Evidence, found: &mut Vec<Violation>) {
    for note in &evidence.notes {
        let Note::BadInput { instance, what, status, code, .. } = note else { continue };
        if *status < 400 || code.is_empty() {
            let detail = format!("{what}: status {status}, code {code:?}");
            found.push(Violation::new(Rule::UntypedError, instance, detail));
        }
    }
}

/// Requests that were sent before a planned stop must not be lost by it.
fn cut_by_stop(evidence: &Evidence, found: &mut Vec<Violation>) {
    for note in &evidence.notes {
        let Note::Stopped { instance, from, to } = note else { continue };
        let in_flight = |call: &&Call| {
            call.via == *instance && call.sent_ms < *from && (*from..=*to).contains(&call.got_ms)
        };
        for call in evidence.calls().filter(in_flight).filter(|call| call.reply == Reply::Lost) {
            let detail = format!("{instance}, told to stop at {from}: {}", call.code);
            found.push(Violation::new(Rule::CutByStop, &call.key, detail));
        }
    }
}

/// A refusal is true when nothing started before it was asked for, and nothing starts after it
/// but by another submission of the same key that was open then or came later.
fn not_run(call: &Call, job: &[&Call], starts: &Starts, found: &mut Vec<Violation>) {
    let other_body = || job.iter().any(|other| other.body != call.body);
    if call.reply != Reply::NotRun || (call.code == "key-reused" && other_body()) {
        return;
    }
    let others = job.iter().any(|other| {
        other.verb == Verb::Submit && !std::ptr::eq(*other, call) && other.got_ms > call.sent_ms
    });
    let lie = |ms: u64| ms <= call.sent_ms || !others;
    if let Some((task, ms, worker)) = starts.of_job(&call.key).iter().find(|(_, ms, _)| lie(*ms)) {
        let detail = format!(
            "{} said not-run {} at {}, {worker} started it at {ms}",
            call.via, call.code, call.got_ms
        );
        found.push(Violation::new(Rule::NotRunStarted, task, detail));
    }
}

fn outcomes(job: &[&Call], found: &mut Vec<Violation>) {
    let key = &job[0].key;
    let has = |reply: Reply| job.iter().find(|call| call.reply == reply);
    if let (Some(complete), Some(failed)) = (has(Reply::Complete), has(Reply::Failed))
        && complete.body == failed.body
    {
        let detail = format!("complete by {}, failed by {}", complete.via, failed.via);
        found.push(Violation::new(Rule::TwoOutcomes, key, detail));
    }
    let accepted = job.iter().any(|call| {
        call.verb == Verb::Submit && matches!(call.reply, Reply::Pending | Reply::Lost)
    });
    if accepted && !job.iter().any(|call| call.reply.is_final()) {
        let last = job.last().map(|call| format!("last {} {}", call.reply, call.code));
        found.push(Violation::new(Rule::Unanswered, key, last.unwrap_or_default()));
    }
}
