//! HTTP/1.1 server and client, one thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

fn head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<String> {
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Serves requests on a listener for the life of the process. No answer is sent for `None`.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&Request) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = connection(stream, &*handler);
            });
        }
    });
}

fn connection(
    mut stream: TcpStream,
    handler: &(dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((first, headers)) = head(&mut reader)? {
        let body = body(&mut reader, &headers)?;
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let request = Request { path, headers, body };
        let Some((status, text)) = handler(&request) else { return Ok(()) };
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        stream.write_all(answer.as_bytes())?;
    }
    Ok(())
}

/// Sends a request on a new connection; returns the status and the body.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    text: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok((status, body(&mut reader, &headers)?))
}
