//! Sums the counters that entry instances send over UDP.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use anyhow::Result;

/// Time between two looks at the flag that ends the thread.
const LOOK: Duration = Duration::from_millis(100);

/// Receiver of counters; dropping it joins its thread.
pub struct Statsd {
    /// Address to send to.
    pub addr: SocketAddr,
    sums: Arc<Mutex<Vec<(String, i64)>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Statsd {
    /// Starts a receiver on a free port.
    ///
    /// # Errors
    /// When no port can be opened.
    pub fn start() -> Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(LOOK))?;
        let addr = socket.local_addr()?;
        let sums = Arc::<Mutex<Vec<_>>>::default();
        let stop = Arc::new(AtomicBool::new(false));
        let thread = std::thread::spawn({
            let (sums, stop) = (Arc::clone(&sums), Arc::clone(&stop));
            move || receive(&socket, &sums, &stop)
        });
        Ok(Self { addr, sums, stop, thread: Some(thread) })
    }

    /// Sum of a counter, 0 when it was never sent.
    #[must_use]
    pub fn sum(&self, name: &str) -> i64 {
        let sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        let place = sums.binary_search_by(|(other, _)| other.as_str().cmp(name));
        place.map_or(0, |place| sums[place].1)
    }
}

impl Drop for Statsd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was already printed by the panic hook.
            let _ = thread.join();
        }
    }
}

fn receive(socket: &UdpSocket, sums: &Mutex<Vec<(String, i64)>>, stop: &AtomicBool) {
    let mut buffer = [0; 65_536];
    while !stop.load(Ordering::Relaxed) {
        let Ok(size) = socket.recv(&mut buffer) else { continue };
        let Ok(text) = std::str::from_utf8(&buffer[..size]) else { continue };
        for (name, by) in text.lines().filter_map(counter) {
            let mut sums = sums.lock().unwrap_or_else(PoisonError::into_inner);
            match sums.binary_search_by(|(other, _)| other.as_str().cmp(name)) {
                Ok(place) => sums[place].1 += by,
                Err(place) => sums.insert(place, (name.to_owned(), by)),
            }
        }
    }
}

/// Name and value of a counter line such as `cranberryhatch.tasks-started:3|c`.
fn counter(line: &str) -> Option<(&str, i64)> {
    let (name, rest) = line.split_once(':')?;
    let value = rest.strip_suffix("|c").or_else(|| rest.split_once("|c|").map(|(v, _)| v))?;
    let name = name.strip_prefix("cranberryhatch.").unwrap_or(name);
    Some((name, value.parse().ok()?))
}
