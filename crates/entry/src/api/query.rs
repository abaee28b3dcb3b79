//! Query strings.

use bytes::Bytes;
use cranberryhatch_http::Problem;
use http::{Request, StatusCode};

/// The time to wait for an answer, in milliseconds, cut to `limit`.
///
/// # Errors
/// When the query has anything else or the value is no number.
pub fn wait_ms(request: &Request<Bytes>, default: u64, limit: u64) -> Result<u64, Problem> {
    let [wait] = numbers(request, ["wait_ms"])?;
    Ok(wait.unwrap_or(default).min(limit))
}

/// Values of the parameters that a path takes.
///
/// # Errors
/// When the query has other parameters or a value is no number.
pub fn numbers<const N: usize>(
    request: &Request<Bytes>,
    names: [&str; N],
) -> Result<[Option<u64>; N], Problem> {
    let mut values = [None; N];
    let query = request.uri().query().unwrap_or_default();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let bad = || {
            let detail = format!("{name}: expected one of {} with a number", names.join(", "));
            Problem::new(StatusCode::BAD_REQUEST, "bad-query", detail)
        };
        let place = names.iter().position(|known| *known == name).ok_or_else(bad)?;
        values[place] = Some(value.parse().map_err(|_| bad())?);
    }
    Ok(values)
}
