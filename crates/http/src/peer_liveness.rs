//! Detection of peers that have left a connection without a notice.

use std::{io, time::Duration};

use rustix::net::sockopt;
use smol::net::TcpStream;

/// Time without data after which the kernel probes the peer, and the smallest that Linux supports.
///
/// A peer whose reset was lost answers the first probe with another one.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between unanswered probes; the smallest that Linux supports.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection ends, so that a peer that is unreachable
/// for less than 5 s keeps it.
const KEEPALIVE_PROBES: u32 = 4;

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
