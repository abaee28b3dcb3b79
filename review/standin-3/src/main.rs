//! Stand-ins of the third review: the platform, workers and clients around the project's instances.

mod cluster;
mod history;
mod http;
mod json;
mod proxy;
mod random;
mod scenarios;
mod store;
mod worker;

use std::{fs::File, path::PathBuf, process::exit, sync::Arc, thread, time::Duration};

use history::History;

/// Time after which a run is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(scenario), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-standin-3 SCENARIO RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the time limit has passed");
        exit(2);
    });
    let history = Arc::new(History::new(File::create(PathBuf::from(record)).expect("a record")));
    let is_run = scenarios::run(scenario, trouble, folder.clone(), &history);
    let (violations, summary) = history.finish();
    history.note(&summary);
    println!("{summary}");
    println!("{} violations; TROUBLE={}", violations.len(), u8::from(trouble));
    for (rule, text) in violations.iter().take(5) {
        println!("BROKEN {rule}: {text}");
    }
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    exit(match (is_run, violations.is_empty()) {
        (false, _) => 2,
        (true, true) => 0,
        (true, false) => 1,
    });
}
