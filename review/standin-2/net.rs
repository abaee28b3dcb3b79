//! Blocking HTTP/1.1 server and client, and a TCP forwarder that can be cut.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns a parameter of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let found = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
        percent_decode(found.unwrap_or(""))
    }

    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one message: the first line, the headers and the body; `None` at the end of the stream.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<(String, Vec<(String, String)>, Vec<u8>)>> {
    let mut chunk = [0; 16 << 10];
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
    let body = buffer.drain(..length).collect();
    Ok(Some((first, headers, body)))
}

/// Serves requests on an address, with a thread for each connection. No response is sent if the
/// handler returns `None`.
pub fn serve<F>(addr: SocketAddr, handler: F) -> SocketAddr
where
    F: Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).expect("a free address");
    let addr = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    addr
}

fn serve_connection(
    mut stream: TcpStream,
    handler: &dyn Fn(Request) -> Option<(u16, String)>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some((first, headers, body)) = read_message(&mut stream, &mut buffer)? {
        let mut words = first.split(' ');
        let path = words.nth(1).unwrap_or("").to_owned();
        let Some((status, body)) = handler(Request { path, headers, body }) else {
            // The caller times out.
            thread::sleep(Duration::from_secs(60));
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
    Ok(())
}

/// Sends one request on a connection of its own and returns the status and the body.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    let message = read_message(&mut stream, &mut Vec::new())?;
    let (first, _, body) = message.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Open connections carry nothing any more and new ones get no answer, as in a silent partition.
    Silent,
}

/// Forwards connections to another address.
#[derive(Clone)]
pub struct Forwarder {
    state: Arc<Mutex<(Mode, Vec<TcpStream>)>>,
}

impl Forwarder {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).expect("a free address");
        let state = Arc::new(Mutex::new((Mode::Pass, Vec::new())));
        let forwarder = Self { state: Arc::clone(&state) };
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let state = Arc::clone(&state);
                thread::spawn(move || forward(client, target, &state));
            }
        });
        forwarder
    }

    /// Sets the mode. The connections of a silent period are closed at its end.
    pub fn set(&self, mode: Mode) {
        let mut state = self.state.lock().expect("state");
        state.0 = mode;
        if mode == Mode::Pass {
            for stream in state.1.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn forward(client: TcpStream, target: SocketAddr, state: &Arc<Mutex<(Mode, Vec<TcpStream>)>>) {
    if state.lock().expect("state").0 == Mode::Silent {
        state.lock().expect("state").1.push(client);
        return;
    }
    let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let Ok((client_copy, server_copy)) =
        client.try_clone().and_then(|c| Ok((c, server.try_clone()?)))
    else {
        return;
    };
    let other = Arc::clone(state);
    thread::spawn(move || copy(server_copy, client_copy, &other));
    copy(client, server, state);
}

fn copy(mut from: TcpStream, mut to: TcpStream, state: &Arc<Mutex<(Mode, Vec<TcpStream>)>>) {
    let mut chunk = [0; 16 << 10];
    loop {
        let count = from.read(&mut chunk);
        let mut guard = state.lock().expect("state");
        if guard.0 == Mode::Silent {
            // Neither bytes nor the end of the stream get through.
            guard.1.push(from);
            guard.1.push(to);
            return;
        }
        drop(guard);
        match count {
            Ok(count) if count > 0 && to.write_all(&chunk[..count]).is_ok() => {}
            _ => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
