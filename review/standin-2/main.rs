//! Stand-ins of the platform and trials that show a broken rule.
//!
//! `trial NAME FOLDER` writes `FOLDER/record.txt` and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the trial could not run. `TROUBLE=0` leaves the disruption out.

mod edge;
mod json;
mod net;
mod platform;
mod record;
mod trials;

use std::{
    panic::{self, AssertUnwindSafe},
    path::Path,
    process::ExitCode,
    sync::Arc,
};

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = args.as_slice() else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    let run = || match name.as_str() {
        "late-leases" => trials::late_leases(&record, trouble),
        "cancel-return" => trials::cancel_return(&record, trouble),
        "cancel-freeze" => trials::cancel_freeze(&record, trouble),
        "cancel-cut" => trials::cancel_cut(&record, trouble),
        "cancel-route" => trials::cancel_route(&record, trouble),
        _ => Err("no such trial".to_owned()),
    };
    // An address that is in use, for example, ends the trial in a panic.
    let result = panic::catch_unwind(AssertUnwindSafe(run));
    let result = result.unwrap_or_else(|_| Err("panicked".to_owned()));
    let (line, code) = match result {
        Ok(broken) if broken.is_empty() => ("held".to_owned(), 0),
        Ok(broken) => (format!("broken: {}", broken.join("; ")), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    record.add("result", &line);
    println!("{line}");
    ExitCode::from(code)
}
