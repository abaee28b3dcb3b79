//! Frames on the links between instances: a length and a protobuf message.

use std::io;

use cranberryhatch_schema::fleet::{Frame, frame::Body};
use prost::Message as _;
use smol::io::{AsyncRead, AsyncReadExt};

/// Largest frame in bytes; settings with some hundred kinds are the largest.
const MAX_FRAME_SIZE: usize = 4 << 20;
/// Bytes that are read at once.
const READ_SIZE: usize = 16 << 10;
/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// The bytes of a message on the wire.
#[must_use]
pub fn encode(body: Body) -> Vec<u8> {
    let frame = Frame { body: Some(body) };
    let length = frame.encoded_len();
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + length);
    bytes.extend_from_slice(&u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes());
    // Writing to a vector cannot run out of space.
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
    /// A reader of a new connection.
    pub const fn new(stream: R) -> Self {
        Self { stream, buffer: Vec::new(), consumed: 0 }
    }

    /// All messages that have arrived; waits for at least one.
    ///
    /// # Errors
    /// When the connection ends or sends something else than frames.
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
