//! Commands on availability zones.

use cranberryhatch_schema::Key;
use cranberryhatch_settings::Path;
use cranberryhatch_types::ZoneId;
use serde_json::Value;

use crate::{
    args::{Output, ZoneCommand},
    client::ApiClient,
    exit::Exit,
    failure::Failure,
    output::{print, table},
    settings,
};

/// Attempts at a change while others change other settings.
const ATTEMPTS: usize = 5;
/// Columns of the list.
const COLUMNS: [&str; 6] = ["zone", "drained", "endpoints", "answering", "running", "in_flight"];

/// Runs a command on availability zones.
///
/// # Errors
/// When no instance answers, or the change is refused.
pub fn run(client: &ApiClient, command: &ZoneCommand, output: Output) -> Result<Exit, Failure> {
    match command {
        ZoneCommand::Drain { zone, why } => set(client, zone, Some("on"), why, output),
        ZoneCommand::Restore { zone, why } => set(client, zone, None, why, output),
        ZoneCommand::List => {
            let value: Value = client.get("/v1/admin/zones")?;
            let rows = value.as_array().map(Vec::as_slice).unwrap_or_default();
            print(output, &value, |_| table(rows, &COLUMNS))?;
            Ok(Exit::Success)
        }
    }
}

// Another operator's change of other settings does not concern a drain, so that it is tried again
// on the tree that was first.
fn set(
    client: &ApiClient,
    zone: &ZoneId,
    value: Option<&str>,
    why: &str,
    output: Output,
) -> Result<Exit, Failure> {
    let path = Path::Zone(zone.clone());
    let mut attempt = 1;
    loop {
        let now = settings::fetch(client)?;
        if !now.tree.zones().contains(zone) {
            return Err(Failure::UnknownZone(zone.clone()));
        }
        let tree = now.tree.with(&path, Key::ZoneDrained, value)?;
        if tree == now.tree {
            settings::print_changes(&[], output)?;
            return Ok(Exit::Success);
        }
        match settings::put(client, &now, &tree, why, output) {
            Err(failure) if failure.exit() == Exit::Conflict && attempt < ATTEMPTS => attempt += 1,
            result => return result,
        }
    }
}
