//! Cases of claims on callers' own keys.

mod support;

use cranberryhatch_core::{Answer, ClaimOutcome, Code, Command, Counter, Outcome};
use cranberryhatch_types::Holder;
use support::{HOLDER, Rig, counted, issued, job, key, releases, sent, starts};

struct Case {
    guards: &'static str,
    outcome: fn() -> ClaimOutcome,
    expect: Option<(Outcome, Option<Code>)>,
    starts: usize,
    released: bool,
    forwarded: bool,
}

fn held(holder: &str, digest: u8, answer: Option<Outcome>) -> ClaimOutcome {
    let holder: Holder = holder.parse().expect("a holder");
    let answer = answer.map(|outcome| Box::new(Answer::new(key("a"), outcome)));
    ClaimOutcome::Held { holder, digest: [digest; 32], answer }
}

const CASES: &[Case] = &[
    Case {
        guards: "a granted claim starts nothing",
        outcome: || ClaimOutcome::Granted,
        expect: None,
        starts: 1,
        released: false,
        forwarded: false,
    },
    Case {
        guards: "a job starts although its claim may not be written",
        outcome: || ClaimOutcome::Unavailable,
        expect: Some((Outcome::NotRun, Some(Code::PlatformUnavailable))),
        starts: 0,
        released: true,
        forwarded: false,
    },
    Case {
        guards: "a job that another instance holds starts a second time",
        outcome: || held("praha-a-2/3", 1, None),
        expect: None,
        starts: 0,
        released: false,
        forwarded: true,
    },
    Case {
        guards: "a recorded answer is not given",
        outcome: || held("praha-a-2/3", 1, Some(Outcome::Failed)),
        expect: Some((Outcome::Failed, None)),
        starts: 0,
        released: false,
        forwarded: false,
    },
    Case {
        guards: "another body under a used key gets the answer of the first",
        outcome: || held("praha-a-2/3", 2, Some(Outcome::Failed)),
        expect: Some((Outcome::NotRun, Some(Code::KeyReused))),
        starts: 0,
        released: false,
        forwarded: false,
    },
    Case {
        guards: "a job of an earlier life of this instance is said not to have run",
        outcome: || held("praha-a-1/6", 1, None),
        expect: Some((Outcome::Unknown, Some(Code::HolderLost))),
        starts: 0,
        released: false,
        forwarded: false,
    },
    Case {
        guards: "a row of this holder that it knows nothing of is said not to have run",
        outcome: || held(HOLDER, 1, None),
        expect: Some((Outcome::Unknown, Some(Code::KeyUnknown))),
        starts: 0,
        released: false,
        forwarded: false,
    },
];

#[test]
fn nothing_starts_without_a_claim() {
    for case in CASES {
        let mut rig = Rig::new("");
        rig.worker("w1", 1);
        let ticket = rig.submit(&job(&key("a"), 1));
        let claims = rig.out.iter().filter(|command| matches!(command, Command::Claim(..))).count();
        assert_eq!((claims, starts(&rig.out).len()), (1, 0), "{}", case.guards);
        rig.claimed(&key("a"), (case.outcome)());
        assert_eq!(rig.verdict(ticket), case.expect, "{}", case.guards);
        assert_eq!(starts(&rig.out).len(), case.starts, "{}", case.guards);
        assert_eq!(releases(&rig.out, &key("a")), case.released, "{}", case.guards);
        assert_eq!(!sent(&rig.out).is_empty(), case.forwarded, "{}", case.guards);
        // The same outcome once more changes nothing.
        rig.claimed(&key("a"), (case.outcome)());
        assert!(starts(&rig.out).is_empty(), "{}", case.guards);
    }
}

#[test]
fn a_claim_that_lands_late_starts_nothing_and_the_caller_may_try_again() {
    // Guards against a start after "not run", and against a key that stays blocked for its caller.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let spec = job(&key("a"), 1);
    rig.submit(&spec);
    rig.claimed(&key("a"), ClaimOutcome::Unavailable);
    rig.claimed(&key("a"), ClaimOutcome::Granted);
    assert!(starts(&rig.out).is_empty());
    // The late row meets the next claim: it is removed, and nothing starts.
    let ticket = rig.submit(&spec);
    rig.claimed(&key("a"), held(HOLDER, 1, None));
    assert_eq!(rig.verdict(ticket), Some((Outcome::NotRun, Some(Code::PlatformUnavailable))));
    assert!(releases(&rig.out, &key("a")) && starts(&rig.out).is_empty());
    // Once it is gone, the job runs.
    let (_, started) = rig.run(&spec);
    assert_eq!(started.len(), 1);
}

#[test]
fn a_cancelled_claim_is_settled_before_the_key_is_claimed_again() {
    // Guards against two claims of one key, of which one answer is taken for the other.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let spec = job(&key("a"), 1);
    let first = rig.submit(&spec);
    let cancel = rig.cancel(&key("a"));
    let cancelled = Some((Outcome::NotRun, Some(Code::Cancelled)));
    assert_eq!((rig.verdict(first), rig.verdict(cancel)), (cancelled, cancelled));
    let second = rig.submit(&spec);
    assert_eq!(rig.verdict(second), cancelled);
    assert!(!rig.out.iter().any(|command| matches!(command, Command::Claim(..))));
    rig.claimed(&key("a"), ClaimOutcome::Granted);
    assert!(releases(&rig.out, &key("a")) && starts(&rig.out).is_empty());
    let (_, started) = rig.run(&spec);
    assert_eq!(started.len(), 1);
}

#[test]
fn an_answer_starts_only_the_submission_that_made_the_claim() {
    // Guards against an answer that is delivered again and taken for the answer to the claim of a
    // later submission of the same key, which then starts without its row.
    struct Case {
        name: &'static str,
        again: fn() -> ClaimOutcome,
    }
    let cases = [
        Case { name: "granted", again: || ClaimOutcome::Granted },
        Case { name: "unavailable", again: || ClaimOutcome::Unavailable },
        Case { name: "held", again: || held("praha-a-2/3", 1, None) },
        Case { name: "answered", again: || held("praha-a-2/3", 1, Some(Outcome::Failed)) },
    ];
    for Case { name, again } in cases {
        let mut rig = Rig::new("");
        rig.worker("w1", 1);
        let spec = job(&key("a"), 1);
        rig.submit(&spec);
        let first = rig.claim(&key("a"));
        rig.cancel(&key("a"));
        rig.claimed_as(&key("a"), first, ClaimOutcome::Granted);
        assert!(releases(&rig.out, &key("a")), "{name}");
        let ticket = rig.submit(&spec);
        let second = rig.claim(&key("a"));
        assert_ne!(first, second, "{name}");
        rig.claimed_as(&key("a"), first, again());
        assert!(starts(&rig.out).is_empty() && !releases(&rig.out, &key("a")), "{name}");
        assert_eq!(rig.verdict(ticket), None, "{name}");
        assert!(sent(&rig.out).is_empty(), "{name}");
        assert_eq!(counted(&rig.out, Counter::ClaimAnswersLate), 1, "{name}");
        rig.claimed_as(&key("a"), second, ClaimOutcome::Granted);
        assert_eq!(starts(&rig.out).len(), 1, "{name}");
    }
}

#[test]
fn an_answer_settles_only_its_own_abandoned_claim() {
    // Guards against a late answer to an earlier claim that is taken for the answer to an abandoned
    // one: the key would be claimed again while the abandoned write is under way.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let spec = job(&key("a"), 1);
    rig.submit(&spec);
    let first = rig.claim(&key("a"));
    rig.claimed_as(&key("a"), first, ClaimOutcome::Unavailable);
    rig.submit(&spec);
    let second = rig.claim(&key("a"));
    rig.cancel(&key("a"));
    rig.claimed_as(&key("a"), first, ClaimOutcome::Unavailable);
    assert!(!releases(&rig.out, &key("a")));
    assert_eq!(counted(&rig.out, Counter::ClaimAnswersLate), 1);
    rig.submit(&spec);
    assert!(!rig.out.iter().any(|command| matches!(command, Command::Claim(..))));
    rig.claimed_as(&key("a"), second, ClaimOutcome::Granted);
    assert!(releases(&rig.out, &key("a")));
    let (_, started) = rig.run(&spec);
    assert_eq!(started.len(), 1);
}

#[test]
fn an_own_issued_key_starts_at_once_and_is_recorded_behind() {
    // Guards against a cut-off zone that serves nothing, and against a successor that knows nothing.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let spec = job(&issued(HOLDER, 1), 1);
    let (_, started) = rig.run(&spec);
    assert_eq!(started.len(), 1);
    assert!(rig.out.iter().any(|command| matches!(command, Command::Admit(_))));
    for outcome in [ClaimOutcome::Unavailable, ClaimOutcome::Granted, held("x/1", 1, None)] {
        rig.claimed(&spec.key, outcome);
        assert!(starts(&rig.out).is_empty() && !releases(&rig.out, &spec.key));
    }
    rig.done(started[0].attempt);
    assert_eq!(support::records(&rig.out), 1);
}

#[test]
fn a_resubmission_never_starts_a_task() {
    // Guards against a double print when a caller resubmits before, during and after the run.
    let mut rig = Rig::new("");
    rig.worker("w1", 4);
    let spec = job(&key("a"), 1);
    let before = rig.submit(&spec);
    let claiming = rig.submit(&spec);
    assert!(!rig.out.iter().any(|command| matches!(command, Command::Claim(..))));
    rig.claimed(&key("a"), ClaimOutcome::Granted);
    let started = starts(&rig.out);
    let during = rig.submit(&spec);
    assert!(starts(&rig.out).is_empty());
    let mut other = spec.clone();
    other.digest = [9; 32];
    let reused = rig.submit(&other);
    assert_eq!(rig.verdict(reused), Some((Outcome::NotRun, Some(Code::KeyReused))));
    rig.done(started[0].attempt);
    let answers = [before, claiming, during].map(|ticket| rig.reply(ticket));
    assert!(answers.iter().all(|answer| *answer == answers[0] && answer.is_some()));
    let after = rig.submit(&spec);
    assert_eq!(rig.reply(after), answers[0]);
    let reused = rig.submit(&other);
    assert_eq!(rig.verdict(reused), Some((Outcome::NotRun, Some(Code::KeyReused))));
}
