//! Logs and metrics.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
};
use cranberryhatch_core::Counter;
use cranberryhatch_settings::LogFormat;
use logforth::{append, layout};
use strum::Display;

/// Metrics that wait for their dispatch; further ones are dropped.
const QUEUE: usize = 65_536;

/// Counters of the exchanges of an instance; the name is the metric's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum IoCounter {
    /// Messages sent to peers.
    PeerSent,
    /// Messages to peers dropped because a peer is not connected or reads slowly.
    PeerDropped,
    /// Messages received from peers.
    PeerReceived,
    /// Messages from peers that were unreadable, held up on their way or beyond a full inbox.
    PeerRefused,
    /// Bytes sent to peers.
    PeerBytesOut,
    /// Bytes received from peers.
    PeerBytesIn,
    /// Writes to the platform's claims.
    ClaimWrites,
    /// Rows in these writes.
    ClaimRows,
    /// Records dropped because too many wait.
    RecordsDropped,
    /// Requests refused because too many wait.
    RequestsRefused,
    /// Starts that were not sent because they were decided too long ago.
    StartsStale,
}

/// Values that are measured now and then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum IoGauge {
    /// Tasks that wait for a slot.
    TasksQueued,
    /// Attempts in flight.
    TasksInFlight,
    /// Requests that wait for a reply.
    RequestsWaiting,
    /// Claims and records that wait to be written.
    ClaimsWaiting,
    /// Version of the settings in force.
    SettingsVersion,
    /// Availability zones that are drained.
    ZonesDrained,
}

/// Durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum IoTimer {
    /// From the decision to start an attempt until its request is sent.
    StartDelay,
    /// A write of claims.
    ClaimWrite,
}

/// Sends log lines to standard error.
pub fn start_logs(format: LogFormat) {
    let builder = logforth::starter_log::builder();
    match format {
        LogFormat::Json => builder
            .dispatch(|d| {
                d.append(append::Stderr::default().with_layout(layout::JsonLayout::default()))
            })
            .apply(),
        LogFormat::Text => builder.dispatch(|d| d.append(append::Stderr::default())).apply(),
    }
}

/// Metrics sent to a StatsD server.
pub struct Metrics {
    client: StatsdClient,
    enabled: bool,
}

impl Metrics {
    /// A client that sends to `server`, or nowhere.
    ///
    /// # Errors
    /// When no UDP socket can be opened.
    pub fn new(server: Option<SocketAddr>) -> anyhow::Result<Self> {
        let Some(server) = server else {
            let client = StatsdClient::from_sink("cranberryhatch", NopMetricSink);
            return Ok(Self { client, enabled: false });
        };
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        // One packet for many metrics: a packet each costs more than the work that is counted.
        let sink = BufferedUdpMetricSink::from(server, socket)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
        Ok(Self { client: StatsdClient::from_sink("cranberryhatch", sink), enabled: true })
    }

    /// Adds to a counter of a shard.
    pub fn count(&self, counter: Counter, by: u64) {
        if self.enabled {
            self.add(&counter.to_string(), by);
        }
    }

    /// Adds to a counter of the instance.
    pub fn count_io(&self, counter: IoCounter, by: u64) {
        if self.enabled && by > 0 {
            self.add(&counter.to_string(), by);
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, gauge: IoGauge, value: u64) {
        if self.enabled {
            // Losing a metric must not disturb the service.
            let _ = self.client.gauge(&gauge.to_string(), value);
        }
    }

    /// Tells how long something took.
    pub fn time(&self, timer: IoTimer, took: Duration) {
        if self.enabled {
            // Losing a metric must not disturb the service.
            let _ = self.client.time(&timer.to_string(), took);
        }
    }

    fn add(&self, name: &str, by: u64) {
        let by = i64::try_from(by).unwrap_or(i64::MAX);
        // Losing a metric must not disturb the service.
        let _ = self.client.count(name, by);
    }
}
