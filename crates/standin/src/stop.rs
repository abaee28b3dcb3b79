//! Stop by signal.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use cranberryhatch_http::Runtime;
use signal_hook::consts::{SIGINT, SIGTERM};
use smol::Timer;

/// Time between two looks at the signal flag.
const LOOK: Duration = Duration::from_millis(20);

/// A channel that is closed when SIGTERM or SIGINT arrives.
///
/// # Errors
/// When the signal handler cannot be installed.
pub fn stop_signal(runtime: &Runtime) -> std::io::Result<Receiver<()>> {
    let flag = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&flag))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&flag))?;
    let (sender, stopped) = async_channel::bounded::<()>(1);
    let watch = async move {
        while !flag.load(Ordering::Relaxed) {
            Timer::after(LOOK).await;
        }
        drop(sender);
    };
    runtime.spawn(watch).detach();
    Ok(stopped)
}
