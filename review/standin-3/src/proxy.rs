//! Port forwarders in front of the links of instances, which can cut pairs of instances.
//!
//! The first frame on a link names the instance that opened it. While a pair is cut, bytes between
//! the two are held up and new connections get no answer; what is held up on a connection that one
//! side has closed meanwhile is lost.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

#[derive(Default)]
pub struct Cuts {
    // Pairs of instances that do not reach each other, sorted within the pair.
    pairs: Mutex<Vec<(String, String)>>,
}

impl Cuts {
    pub fn cut(&self, a: &str, b: &str) {
        let pair = if a < b { (a, b) } else { (b, a) };
        self.pairs.lock().expect("pairs").push((pair.0.to_owned(), pair.1.to_owned()));
    }

    pub fn heal(&self) {
        self.pairs.lock().expect("pairs").clear();
    }

    fn is_cut(&self, a: &str, b: &str) -> bool {
        let pair = if a < b { (a, b) } else { (b, a) };
        let pairs = self.pairs.lock().expect("pairs");
        pairs.iter().any(|(x, y)| (x.as_str(), y.as_str()) == pair)
    }
}

/// Forwards connections to an instance.
pub fn forward(
    listener: TcpListener,
    to: SocketAddr,
    name: String,
    names: Vec<String>,
    cuts: Arc<Cuts>,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, names, cuts) = (name.clone(), names.clone(), Arc::clone(&cuts));
            thread::spawn(move || connect(stream, to, &name, &names, &cuts));
        }
    });
}

fn connect(mut from: TcpStream, to: SocketAddr, name: &str, names: &[String], cuts: &Arc<Cuts>) {
    let _ = from.set_nodelay(true);
    let mut length = [0; 4];
    if from.read_exact(&mut length).is_err() {
        return;
    }
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    if from.read_exact(&mut frame).is_err() {
        return;
    }
    let has = |name: &&String| frame.windows(name.len()).any(|part| part == name.as_bytes());
    let other = names.iter().filter(has).find(|other| other.as_str() != name);
    let other = other.cloned().unwrap_or_default();
    wait(name, &other, cuts);
    let Ok(mut target) = TcpStream::connect(to) else { return };
    let _ = target.set_nodelay(true);
    if target.write_all(&length).and_then(|()| target.write_all(&frame)).is_err() {
        return;
    }
    let (Ok(back_from), Ok(back_to)) = (target.try_clone(), from.try_clone()) else { return };
    let (name, cuts) = (name.to_owned(), Arc::clone(cuts));
    let (back_name, back_other, back_cuts) = (name.clone(), other.clone(), Arc::clone(&cuts));
    thread::spawn(move || pump(back_from, back_to, &back_name, &back_other, &back_cuts));
    pump(from, target, &name, &other, &cuts);
}

fn pump(mut from: TcpStream, mut to: TcpStream, name: &str, other: &str, cuts: &Cuts) {
    let mut bytes = [0; 16_384];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        wait(name, other, cuts);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Waits until the two reach each other.
fn wait(name: &str, other: &str, cuts: &Cuts) {
    while cuts.is_cut(name, other) {
        thread::sleep(Duration::from_millis(5));
    }
}
