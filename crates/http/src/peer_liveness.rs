//! Detection of peers that have left a connection, beyond what reads and writes report.

use std::{io, time::Duration};

use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    net::sockopt,
};
use smol::{Timer, net::TcpStream};

/// Time without data after which the kernel probes the peer, and the smallest that Linux supports.
///
/// A peer whose reset was lost answers the first probe with another one.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between unanswered probes; the smallest that Linux supports.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection ends, so that a peer that is unreachable
/// for less than 5 s keeps it.
const KEEPALIVE_PROBES: u32 = 4;
/// Interval between checks whether the peer of a request in progress has left.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The peer left before it got its response.
#[derive(Debug, thiserror::Error)]
#[error("the peer closed the connection before the response")]
pub(crate) struct PeerLeft;

/// Makes the kernel probe the peer while a connection is idle.
///
/// A peer that lost power, or whose reset was lost, would otherwise seem connected for as long as
/// there is nothing to write. `TCP_USER_TIMEOUT` is not set: it would also discard responses that
/// are retransmitted until the peer is reachable again.
pub(crate) fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_socket_keepalive(stream, true)?;
    Ok(())
}

/// Waits until the peer has closed, half-closed or reset the connection, also if it left unread data.
///
/// `hyper` notices this only if it has no data beyond the request in progress.
pub(crate) async fn wait_until_left(stream: &TcpStream) -> PeerLeft {
    while !has_left(stream) {
        Timer::after(CHECK_INTERVAL).await;
    }
    PeerLeft
}

fn has_left(stream: &TcpStream) -> bool {
    let end = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
    // An interrupted call tells nothing about the peer; the next check does.
    poll(&mut fds, Some(&Timespec::default())).is_ok() && fds[0].revents().intersects(end)
}
