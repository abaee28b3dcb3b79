//! The platform's metadata store: rows in tables, reads, transactions and a feed.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{http, json::Json};

struct Row {
    table: String,
    key: String,
    // In base64; none once it is removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: Vec<Row>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    pub addr: SocketAddr,
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = (word >> (18 - 6 * index)) & 63;
            out.push(if index <= chunk.len() { ALPHABET[digit as usize] as char } else { '=' });
        }
    }
    out
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            addr: listener.local_addr().expect("an address"),
        });
        let serving = Arc::clone(&store);
        http::serve(listener, move |request| Some(serving.answer(request)));
        store
    }

    /// Writes or removes a row, as the operator and the workers do.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> u64 {
        let mut state = self.state.lock().expect("state");
        let version = put(&mut state, table, key, value.map(|text| base64(text.as_bytes())));
        self.changed.notify_all();
        version
    }

    fn answer(&self, request: &http::Request) -> (u16, String) {
        // A call takes 4 ms and a transaction 5 ms.
        std::thread::sleep(Duration::from_millis(4));
        let path = request.path.split('?').next().unwrap_or_default();
        match path {
            "/-/rows-tx" => self.transaction(&request.body),
            "/-/rows-get" => self.rows(request, 0, Duration::ZERO),
            "/-/rows-feed" => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                self.rows(request, number("After").unwrap_or(0) + 1, wait)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transaction(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let mut state = self.state.lock().expect("state");
        for row in body.list("SetKeys") {
            let (table, key) = (row.text("Table").unwrap_or(""), row.text("Key").unwrap_or(""));
            if matches!(table, "op" | "servers") {
                return (403, "{}".to_owned());
            }
            let value = row.text("Value").unwrap_or("").to_owned();
            put(&mut state, table, key, Some(value));
        }
        self.changed.notify_all();
        (200, format!("{{\"Ver\":{},\"NowMs\":{}}}", state.version, self.now()))
    }

    /// Answers with the rows of a table from a version on; `from` is 0 for the present rows.
    fn rows(&self, request: &http::Request, from: u64, wait: Duration) -> (u16, String) {
        let table = request.query("Table").unwrap_or_default();
        let until = Instant::now() + wait;
        let mut state = self.state.lock().expect("state");
        loop {
            let wanted = |row: &&Row| {
                row.table == table && row.version >= from && (from > 0 || row.value.is_some())
            };
            let mut found: Vec<&Row> = state.rows.iter().filter(wanted).collect();
            if from > 0 && found.is_empty() && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                state = self.changed.wait_timeout(state, left).expect("state").0;
                continue;
            }
            if from == 0 {
                found.sort_by(|a, b| a.key.cmp(&b.key));
            } else {
                found.sort_by_key(|row| row.version);
            }
            let texts: Vec<String> = found.iter().map(|row| text_of(row)).collect();
            let answer = format!(
                "{{\"rows\":[{}],\"Truncated\":false,\"Ver\":{},\"NowMs\":{}}}",
                texts.join(","),
                state.version,
                self.now()
            );
            return (200, answer);
        }
    }

    fn now(&self) -> u128 {
        self.started.elapsed().as_millis()
    }
}

fn put(state: &mut State, table: &str, key: &str, value: Option<String>) -> u64 {
    state.version += 1;
    let version = state.version;
    state.rows.retain(|row| row.table != table || row.key != key);
    state.rows.push(Row { table: table.to_owned(), key: key.to_owned(), value, version });
    version
}

fn text_of(row: &Row) -> String {
    let Row { table, key, value, version } = row;
    let value = match value {
        Some(value) => format!("\"Value\":\"{value}\""),
        None => "\"Removed\":true".to_owned(),
    };
    format!("{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",{value},\"Ver\":{version}}}")
}
