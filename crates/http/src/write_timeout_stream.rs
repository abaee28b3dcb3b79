//! TCP stream with a write timeout, which ends connections whose peer stops reading.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use smol::{
    Timer,
    future::Future,
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// A stream whose writes fail when they make no progress within `timeout`.
///
/// A client that does not read its response would otherwise hold a connection and the memory of the
/// response indefinitely.
pub(crate) struct WriteTimeoutStream {
    stream: TcpStream,
    timeout: Duration,
    timer: Option<Timer>,
}

impl WriteTimeoutStream {
    pub(crate) const fn new(stream: TcpStream, timeout: Duration) -> Self {
        Self { stream, timeout, timer: None }
    }

    fn check_progress<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Timer::after(timeout));
        match Pin::new(timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_progress(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.check_progress(cx, result)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
