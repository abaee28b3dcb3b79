//! Guards against a drain that loses another operator's change, is sent for a zone that the
//! deployment lacks, or is reported otherwise than it ended.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output},
    sync::{Arc, Mutex},
};

const TREE: &str = "[deployment d]\nzones.names = z1 z2\n";
const DRAINED: &str = "[deployment d]\nzones.names = z1 z2\n[zone z1]\nzone.drained = on\n";
const BOTH: &str = "[deployment d]\nzones.names = z1 z2\n[zone z1]\nzone.drained = on\n\
                    [zone z2]\nzone.drained = on\n";

/// Settings of an instance, and what was sent to it.
#[derive(Default)]
struct State {
    version: u64,
    tree: String,
    /// A tree that another operator puts in force after the first read.
    rival: Option<&'static str>,
    puts: usize,
    reason: String,
}

/// An instance that serves settings and zones, one request a connection.
fn serve(state: Arc<Mutex<State>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            answer(stream.expect("a connection"), &mut state.lock().expect("the state"));
        }
    });
    addr
}

fn answer(mut stream: TcpStream, state: &mut State) {
    let request = read(&mut stream);
    let (head, body) = request.split_once("\r\n\r\n").expect("a request");
    let header = |name: &str| {
        let line = head.lines().find(|line| line.to_lowercase().starts_with(&format!("{name}:")));
        line.and_then(|line| line.split_once(": ")).map_or("", |(_, value)| value).to_owned()
    };
    let version = state.version;
    let (status, body) = if head.starts_with("GET /v1/admin/zones") {
        let row =
            r#"{"zone":"z1","drained":true,"endpoints":3,"answering":3,"running":7,"in_flight":2}"#;
        ("200 OK", format!("[{row}]"))
    } else if head.starts_with("GET") {
        let tree = state.tree.clone();
        if let Some(rival) = state.rival.take() {
            (state.version, state.tree) = (version + 1, rival.to_owned());
        }
        ("200 OK", tree)
    } else if header("if-match") == version.to_string() {
        state.puts += 1;
        (state.version, state.tree) = (version + 1, body.to_owned());
        state.reason = header("x-reason");
        ("200 OK", format!(r#"{{"version":{},"warnings":["no endpoint is left"]}}"#, state.version))
    } else {
        let problem = r#"{"code":"version-conflict","status":412,"title":"","detail":"changed"}"#;
        ("412 Precondition Failed", problem.to_owned())
    };
    let kind = if status.starts_with("412") { "application/problem+json" } else { "text/plain" };
    let length = body.len();
    let response = format!(
        "HTTP/1.1 {status}\r\ncontent-type: {kind}\r\netag: \"{version}\"\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(response.as_bytes()).expect("an answer");
}

fn read(stream: &mut TcpStream) -> String {
    let (mut text, mut part) = (String::new(), [0; 4_096]);
    loop {
        let size = stream.read(&mut part).expect("a request");
        text += std::str::from_utf8(&part[..size]).expect("text");
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(": ")?;
                name.eq_ignore_ascii_case("content-length").then(|| value.parse().expect("size"))
            });
            if body.len() >= length.unwrap_or(0) {
                return text;
            }
        }
        assert!(size > 0, "the request breaks off: {text}");
    }
}

fn run(addr: SocketAddr, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cranberryhatch"))
        .args(["--server", &addr.to_string(), "--token", "secret", "zone"])
        .args(args)
        .output()
        .expect("the command")
}

struct Case {
    guards: &'static str,
    before: &'static str,
    rival: Option<&'static str>,
    args: &'static [&'static str],
    exit: i32,
    after: &'static str,
    puts: usize,
}

#[test]
fn zones_are_drained_and_restored() {
    let plain = Case {
        guards: "a drain that does not reach the tree",
        before: TREE,
        rival: None,
        args: &["drain", "z1"],
        exit: 0,
        after: DRAINED,
        puts: 1,
    };
    let cases = [
        Case {
            guards: "a second drain that takes the first back",
            before: DRAINED,
            args: &["drain", "z2"],
            after: BOTH,
            ..plain
        },
        Case {
            guards: "a restore that takes the other drain back too",
            before: BOTH,
            args: &["restore", "z2"],
            after: DRAINED,
            ..plain
        },
        Case {
            guards: "a drain that overwrites one made at the same time",
            rival: Some(DRAINED),
            args: &["drain", "z2"],
            after: BOTH,
            ..plain
        },
        Case {
            guards: "a repeated drain with an audit line of its own",
            before: DRAINED,
            puts: 0,
            ..plain
        },
        Case {
            guards: "a drain of a zone that the deployment lacks",
            args: &["drain", "z9"],
            exit: 7,
            after: TREE,
            puts: 0,
            ..plain
        },
        Case {
            guards: "a restore of a mistyped zone that is reported as done",
            before: DRAINED,
            args: &["restore", "z9"],
            exit: 7,
            puts: 0,
            ..plain
        },
        plain,
    ];
    for case in cases {
        let state = State {
            version: 5,
            tree: case.before.to_owned(),
            rival: case.rival,
            ..State::default()
        };
        let state = Arc::new(Mutex::new(state));
        let output = run(serve(Arc::clone(&state)), case.args);
        let errors = String::from_utf8_lossy(&output.stderr);
        let state = state.lock().expect("the state");
        assert_eq!(
            output.status.code(),
            Some(case.exit),
            "guards against: {}: {errors}",
            case.guards
        );
        assert_eq!((state.tree.as_str(), state.puts), (case.after, case.puts), "{}", case.guards);
        assert_eq!(errors.contains("warning: no endpoint is left"), case.puts > 0, "{errors}");
    }
}

#[test]
fn the_reason_is_recorded_and_zones_are_listed() {
    let state = State { version: 1, tree: TREE.to_owned(), ..State::default() };
    let state = Arc::new(Mutex::new(state));
    let addr = serve(Arc::clone(&state));
    assert!(run(addr, &["drain", "z1", "--why", "power work"]).status.success());
    assert_eq!(state.lock().expect("the state").reason, "power work");
    let list = String::from_utf8(run(addr, &["list"]).stdout).expect("text");
    let rows: Vec<Vec<&str>> = list.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(rows[0], ["ZONE", "DRAINED", "ENDPOINTS", "ANSWERING", "RUNNING", "IN_FLIGHT"]);
    assert_eq!(rows[1], ["z1", "true", "3", "3", "7", "2"]);
}
