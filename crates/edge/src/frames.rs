//! Frames on the links between instances: a big-endian length and a protobuf message.

use std::io;

use cranberryhatch_schema::fleet::{Frame, frame::Body};
use prost::Message as _;
use smol::io::{AsyncRead, AsyncReadExt};

/// Largest frame in bytes; the largest messages are settings with some hundred kinds.
const MAX_FRAME_SIZE: usize = 4 << 20;
/// Size of the read buffer in bytes.
const READ_SIZE: usize = 16 << 10;
/// Size of the length field in bytes.
const LENGTH_BYTES: usize = 4;

/// Encodes a message as a frame.
#[must_use]
pub fn encode(body: Body) -> Vec<u8> {
    let frame = Frame { body: Some(body) };
    let length = frame.encoded_len();
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + length);
    bytes.extend_from_slice(&u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes());
    // Cannot fail: a vector grows as needed.
    let _ = frame.encode(&mut bytes);
    bytes
}

/// Reads frames from a connection.
pub struct FrameReader<R> {
    stream: R,
    buffer: Vec<u8>,
    consumed: usize,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader for a new connection.
    pub const fn new(stream: R) -> Self {
        Self { stream, buffer: Vec::new(), consumed: 0 }
    }

    /// Waits for at least one message and returns all that have arrived.
    ///
    /// # Errors
    /// Returns an error if the connection ends or the data is not a valid frame.
    pub async fn next(&mut self) -> io::Result<Vec<Body>> {
        loop {
            let messages = self.decode_buffered()?;
            if !messages.is_empty() {
                return Ok(messages);
            }
            let mut chunk = vec![0; READ_SIZE];
            let count = self.stream.read(&mut chunk).await?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buffer.drain(..std::mem::take(&mut self.consumed));
            self.buffer.extend_from_slice(&chunk[..count]);
        }
    }

    fn decode_buffered(&mut self) -> io::Result<Vec<Body>> {
        let mut messages = Vec::new();
        while let Some(length) = self.buffer[self.consumed..].first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > MAX_FRAME_SIZE {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let start = self.consumed + LENGTH_BYTES;
            let Some(bytes) = self.buffer.get(start..start + length) else { break };
            let frame = Frame::decode(bytes).map_err(io::Error::other)?;
            self.consumed = start + length;
            messages.extend(frame.body);
        }
        Ok(messages)
    }
}
