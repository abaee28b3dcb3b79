//! Questions about attempts, several to an exchange.

use std::time::Duration;

use cranberryhatch_core::AttemptStatus;
use cranberryhatch_types::{TaskName, Time};
use smol::Timer;

use super::{
    Endpoints, Names, Worker,
    answers::{self, Fate},
    locked,
    worker::Question,
};

/// Time for which questions to one endpoint are collected.
const COLLECT: Duration = Duration::from_millis(2);
/// Most questions in one exchange.
const BATCH: usize = 256;

/// Asks about one attempt, together with others that are asked at about the same time.
pub(super) async fn settle(
    endpoints: &Endpoints,
    worker: &Worker,
    name: &TaskName,
    sent: Time,
) -> AttemptStatus {
    let (sender, answer) = async_channel::bounded(1);
    let first = {
        let mut questions = locked(&worker.questions);
        questions.push(Question { name: name.clone(), sent, sender });
        questions.len() == 1
    };
    if first {
        Timer::after(COLLECT).await;
        let questions = std::mem::take(&mut *locked(&worker.questions));
        for batch in questions.chunks(BATCH) {
            ask(endpoints, worker, batch).await;
        }
    }
    // The one who asks drops the senders when it is cancelled.
    answer.recv().await.unwrap_or(AttemptStatus::Unreachable)
}

async fn ask(endpoints: &Endpoints, worker: &Worker, batch: &[Question]) {
    let names = Names { tasks: batch.iter().map(|one| one.name.to_string()).collect() };
    let response = endpoints.post_fresh(worker.addr, "/v1/settle", &names).await;
    let response = response.ok();
    let age = response.as_ref().and_then(answers::age);
    // An endpoint that does not tell its age may have restarted a moment ago.
    let since = age.map_or(Time::NEVER, |age| endpoints.clock.now() - age);
    let fates: Option<Vec<Fate>> =
        response.and_then(|response| serde_json::from_slice(response.body()).ok());
    let mut states = match fates {
        Some(fates) if fates.len() == batch.len() => {
            fates.into_iter().map(AttemptStatus::from).collect()
        }
        _ => vec![AttemptStatus::Unreachable; batch.len()],
    };
    for (question, state) in batch.iter().zip(states.drain(..)) {
        let forgotten = state == AttemptStatus::NeverStarted && since >= question.sent;
        let state = if forgotten { AttemptStatus::Forgotten } else { state };
        // Whoever asked may be gone.
        let _ = question.sender.try_send(state);
    }
}
