//! Cases of questions between instances about a job.

mod support;

use cranberryhatch_core::{ClaimOutcome, Code, Outcome, Ticket};
use cranberryhatch_schema::peer::{Forward, ForwardReply, envelope::Body};
use support::{HOLDER, Rig, issued, job, key, sent, starts};

/// The holder that is asked.
const PEER: &str = "praha-a-2/3";

/// The question among the last commands.
fn question(rig: &Rig) -> Option<Forward> {
    sent(&rig.out).into_iter().find_map(|(to, body)| match body {
        Body::Forward(ask) => {
            assert_eq!(to.to_string(), "praha-a-2/0");
            Some(ask)
        }
        _ => None,
    })
}

/// The reply among the last commands.
fn reply(rig: &Rig) -> Option<ForwardReply> {
    sent(&rig.out).into_iter().find_map(|(to, body)| match body {
        Body::ForwardReply(reply) => {
            assert_eq!(to.to_string(), "praha-a-2/0");
            Some(reply)
        }
        _ => None,
    })
}

fn said(request: u64, outcome: Outcome) -> ForwardReply {
    ForwardReply { request, known: true, outcome: outcome.to_string(), ..ForwardReply::default() }
}

/// How a request comes to be forwarded.
enum How {
    Claim,
    Submission,
    Wait,
    Cancel,
}

/// Who replies, and with what to a question's number.
type Said = (&'static str, fn(u64) -> ForwardReply);

struct Case {
    guards: &'static str,
    how: How,
    /// The holder's reply, and the life that sends it.
    reply: Option<Said>,
    expect: (Outcome, Option<Code>),
}

const CASES: &[Case] = &[
    Case {
        guards: "a resubmission elsewhere does not get the answer",
        how: How::Claim,
        reply: Some((PEER, |request| ForwardReply {
            results: vec![b"r".to_vec()],
            ..said(request, Outcome::Complete)
        })),
        expect: (Outcome::Complete, None),
    },
    Case {
        guards: "a holder that does not answer keeps the caller until its deadline",
        how: How::Claim,
        reply: None,
        expect: (Outcome::Unknown, Some(Code::HolderUnreachable)),
    },
    Case {
        guards: "a submission under another holder's key is started, or answered falsely",
        how: How::Submission,
        reply: None,
        expect: (Outcome::Unknown, Some(Code::HolderUnreachable)),
    },
    Case {
        guards: "a holder that does not know the job yet counts as proof that it will not run",
        how: How::Submission,
        reply: Some((PEER, |request| ForwardReply { request, ..ForwardReply::default() })),
        expect: (Outcome::Unknown, Some(Code::KeyUnknown)),
    },
    Case {
        guards: "a later life of the holder speaks for an earlier one",
        how: How::Wait,
        reply: Some(("praha-a-2/4", |request| ForwardReply { request, ..ForwardReply::default() })),
        expect: (Outcome::Unknown, Some(Code::HolderLost)),
    },
    Case {
        guards: "another body under a used key is not told apart",
        how: How::Submission,
        reply: Some((PEER, |request| ForwardReply {
            code: Code::KeyReused.to_string(),
            ..said(request, Outcome::NotRun)
        })),
        expect: (Outcome::NotRun, Some(Code::KeyReused)),
    },
    Case {
        guards: "a cancellation elsewhere is lost",
        how: How::Cancel,
        reply: Some((PEER, |request| ForwardReply {
            code: Code::Cancelled.to_string(),
            ..said(request, Outcome::Unknown)
        })),
        expect: (Outcome::Unknown, Some(Code::Cancelled)),
    },
    Case {
        guards: "an outcome that is not understood counts as a success",
        how: How::Wait,
        reply: Some((PEER, |request| ForwardReply {
            outcome: "splendid".to_owned(),
            ..said(request, Outcome::Complete)
        })),
        expect: (Outcome::Unknown, None),
    },
];

fn ask(rig: &mut Rig, how: &How) -> (Ticket, Forward) {
    let foreign = issued(PEER, 1);
    let ticket = match how {
        How::Claim => {
            let ticket = rig.submit(&job(&key("a"), 1));
            let holder = PEER.parse().expect("a holder");
            let held = ClaimOutcome::Held { holder, digest: [1; 32], answer: None };
            rig.claimed(&key("a"), held);
            ticket
        }
        How::Submission => rig.submit(&job(&foreign, 1)),
        How::Wait => rig.wait(&foreign, 0),
        How::Cancel => rig.cancel(&foreign),
    };
    let question = question(rig).expect("a question");
    assert_eq!(question.cancel, matches!(how, How::Cancel));
    assert_eq!(question.digest.is_empty(), matches!(how, How::Wait | How::Cancel));
    (ticket, question)
}

#[test]
fn requests_for_a_job_held_elsewhere_are_relayed() {
    for case in CASES {
        let mut rig = Rig::new("");
        rig.worker("w1", 1);
        let (ticket, question) = ask(&mut rig, &case.how);
        match case.reply {
            Some((from, reply)) => {
                rig.peer(from, Body::ForwardReply(reply(question.request)));
            }
            None => drop(rig.pass(1_600)),
        }
        let answer = rig.reply(ticket).unwrap_or_else(|| panic!("no answer: {}", case.guards));
        assert_eq!((answer.outcome, answer.code), case.expect, "{}", case.guards);
        let come_back = matches!(
            answer.code,
            Some(Code::HolderUnreachable | Code::KeyUnknown | Code::HolderLost)
        );
        assert_eq!(answer.retry_after.is_some(), come_back, "{}", case.guards);
        assert!(starts(&rig.out).is_empty(), "{}", case.guards);
        // A second reply finds nobody.
        rig.peer(PEER, Body::ForwardReply(said(question.request, Outcome::Complete)));
        assert_eq!(rig.reply(ticket), None, "{}", case.guards);
    }
}

#[test]
fn a_long_wait_is_cut_into_short_questions() {
    // Guards against a caller that waits for long on a holder that has died meanwhile.
    let mut rig = Rig::new("");
    let (ticket, mut asked) = ask(&mut rig, &How::Claim);
    for _ in 0..5 {
        assert!(asked.wait_ms <= 500);
        rig.pass(500);
        rig.peer(PEER, Body::ForwardReply(said(asked.request, Outcome::Pending)));
        assert_eq!(rig.reply(ticket), None);
        asked = question(&rig).expect("the next question");
    }
    rig.pass(1_500);
    assert_eq!(rig.verdict(ticket), Some((Outcome::Unknown, Some(Code::HolderUnreachable))));
}

#[test]
fn a_reply_of_another_instance_is_not_taken() {
    // Guards against mixed-up answers when numbers of questions meet by chance.
    let mut rig = Rig::new("");
    let (ticket, question) = ask(&mut rig, &How::Wait);
    rig.peer("praha-a-9/3", Body::ForwardReply(said(question.request, Outcome::Complete)));
    assert_eq!(rig.reply(ticket), None);
}

struct Incoming {
    guards: &'static str,
    digest: u8,
    cancel: bool,
    known: bool,
    done: bool,
    /// Outcome and code of the reply, or none when the job is not known.
    expect: Option<(&'static str, &'static str)>,
}

const INCOMING: &[Incoming] = &[
    Incoming {
        guards: "a job that is not known is vouched for",
        digest: 1,
        cancel: false,
        known: false,
        done: false,
        expect: None,
    },
    Incoming {
        guards: "a job that runs is not known",
        digest: 1,
        cancel: false,
        known: true,
        done: false,
        expect: Some(("pending", "")),
    },
    Incoming {
        guards: "the answer of a job that ended is not given",
        digest: 1,
        cancel: false,
        known: true,
        done: true,
        expect: Some(("complete", "")),
    },
    Incoming {
        guards: "another body gets the answer of the first",
        digest: 2,
        cancel: false,
        known: true,
        done: true,
        expect: Some(("not-run", "key-reused")),
    },
    Incoming {
        guards: "another body under the key of a running job is taken for it",
        digest: 2,
        cancel: false,
        known: true,
        done: false,
        expect: Some(("not-run", "key-reused")),
    },
    Incoming {
        guards: "a forwarded cancellation does nothing",
        digest: 0,
        cancel: true,
        known: true,
        done: false,
        expect: Some(("unknown", "cancelled")),
    },
];

#[test]
fn questions_of_other_instances_are_answered() {
    for case in INCOMING {
        let mut rig = Rig::new("");
        rig.worker("w1", 1);
        if case.known {
            let (_, started) = rig.run(&job(&key("a"), 1));
            if case.done {
                rig.done(started[0].attempt);
            }
        }
        let digest = if case.digest == 0 { Vec::new() } else { vec![case.digest; 32] };
        let cancel = case.cancel;
        let ask = Forward { request: 5, key: key("a").to_string(), digest, wait_ms: 0, cancel };
        rig.peer(PEER, Body::Forward(ask));
        let reply = reply(&rig).unwrap_or_else(|| panic!("no reply: {}", case.guards));
        let said = reply.known.then_some((reply.outcome.as_str(), reply.code.as_str()));
        assert_eq!((reply.request, said), (5, case.expect), "{}", case.guards);
    }
}

#[test]
fn another_instance_waits_for_the_end() {
    // Guards against an asker that has to ask again and again.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let (_, started) = rig.run(&job(&key("a"), 1));
    let ask = Forward { request: 5, key: key("a").to_string(), wait_ms: 500, ..Forward::default() };
    rig.peer(PEER, Body::Forward(ask.clone()));
    assert_eq!(reply(&rig), None);
    rig.pass(500);
    assert_eq!(reply(&rig).expect("a reply").outcome, "pending");
    rig.peer(PEER, Body::Forward(ask));
    rig.done(started[0].attempt);
    let reply = reply(&rig).expect("a reply");
    assert_eq!((reply.outcome.as_str(), reply.results.len()), ("complete", 1));
}

/// A question of another instance that comes before the job of an issued key.
struct EarlyCase {
    guards: &'static str,
    life: &'static str,
    /// Digest of the question's body.
    digest: u8,
    wait: u64,
    cancel: bool,
    /// Whether the job comes after the question.
    comes: bool,
    /// Outcome and code of the reply after the job has run, or none when the job is not known.
    expect: Option<(&'static str, &'static str)>,
    /// Whether the reply comes at once.
    at_once: bool,
}

const ASKED: EarlyCase = EarlyCase {
    guards: "a question that overtakes its job by a millisecond is answered with unknown",
    life: HOLDER,
    digest: 1,
    wait: 500,
    cancel: false,
    comes: true,
    expect: Some(("complete", "")),
    at_once: false,
};

const EARLY: &[EarlyCase] = &[
    ASKED,
    EarlyCase {
        guards: "another body gets the answer of the first",
        digest: 2,
        expect: Some(("not-run", "key-reused")),
        ..ASKED
    },
    EarlyCase {
        guards: "a question about a job that never comes is not answered",
        comes: false,
        expect: None,
        ..ASKED
    },
    EarlyCase {
        guards: "an asker that does not wait is kept",
        wait: 0,
        expect: None,
        at_once: true,
        ..ASKED
    },
    EarlyCase {
        guards: "a cancellation waits for a job to cancel",
        cancel: true,
        expect: None,
        at_once: true,
        ..ASKED
    },
    EarlyCase {
        guards: "a job of an earlier life, which cannot come any more, is waited for",
        life: "praha-a-1/6",
        comes: false,
        expect: None,
        at_once: true,
        ..ASKED
    },
];

#[test]
fn a_question_that_overtakes_its_job_waits_for_it() {
    for case in EARLY {
        let mut rig = Rig::new("");
        rig.worker("w1", 1);
        let name = issued(case.life, 1);
        let (digest, wait_ms) = (vec![case.digest; 32], case.wait);
        let cancel = case.cancel;
        let ask = Forward { request: 5, key: name.to_string(), digest, wait_ms, cancel };
        rig.peer(PEER, Body::Forward(ask));
        let mut replies: Vec<_> = reply(&rig).into_iter().collect();
        assert_eq!(replies.len(), usize::from(case.at_once), "{}", case.guards);
        if case.comes {
            rig.submit(&job(&name, 1));
            replies.extend(reply(&rig));
            let started = starts(&rig.out);
            assert_eq!(started.len(), 1, "{}", case.guards);
            rig.done(started[0].attempt);
            replies.extend(reply(&rig));
        }
        rig.pass(500);
        replies.extend(reply(&rig));
        assert_eq!(replies.len(), 1, "one reply: {}", case.guards);
        let reply = &replies[0];
        let said = reply.known.then_some((reply.outcome.as_str(), reply.code.as_str()));
        assert_eq!((reply.request, said), (5, case.expect), "{}", case.guards);
    }
}
