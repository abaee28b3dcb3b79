//! Links between processes, with a control address.

use std::{net::SocketAddr, str::FromStr, sync::Arc, time::Duration};

use bytes::Bytes;
use clap::Parser;
use cranberryhatch_http::{Problem, Runtime, Server, reply_json};
use http::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use smol::net::TcpListener;

use crate::{Link, LinkMode, platform::parsed, stop_signal};

/// Links between processes that can be cut, silenced and delayed.
#[derive(Clone, Debug, Parser)]
pub struct LinkArgs {
    /// Address for switches.
    #[arg(long)]
    pub control: SocketAddr,
    /// A link, written `name=listen=target`; several links may have one name.
    #[arg(long)]
    pub forward: Vec<Forward>,
}

/// A link to be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward {
    /// Name for switches.
    pub name: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to forward to.
    pub target: SocketAddr,
}

/// Why a link's description is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a link: {text}, expected name=listen=target")]
pub struct ForwardError {
    text: String,
}

impl FromStr for Forward {
    type Err = ForwardError;

    fn from_str(text: &str) -> Result<Self, ForwardError> {
        let bad = || ForwardError { text: text.to_owned() };
        let mut parts = text.split('=');
        let (Some(name), Some(listen), Some(target), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(bad());
        };
        let addr = |text: &str| text.parse().map_err(|_| bad());
        Ok(Self { name: name.to_owned(), listen: addr(listen)?, target: addr(target)? })
    }
}

#[derive(Deserialize)]
struct Switch {
    link: String,
    #[serde(default)]
    mode: LinkMode,
    #[serde(default)]
    delay_ms: u64,
}

/// Links between processes.
pub struct LinkStandin {
    links: Vec<(String, Link)>,
}

impl LinkStandin {
    /// Forwards until a signal to stop.
    ///
    /// # Errors
    /// When the control address cannot be opened.
    pub fn run(args: &LinkArgs) -> anyhow::Result<()> {
        let runtime = Runtime::new(2);
        let stopped = stop_signal(&runtime)?;
        let executor = runtime.executor();
        let open = |f: &Forward| (f.name.clone(), Link::start(&executor, f.listen, f.target));
        let standin = Arc::new(Self { links: args.forward.iter().map(open).collect() });
        let listener = runtime.block_on(TcpListener::bind(args.control))?;
        let server = Server::new(move |request| {
            let standin = Arc::clone(&standin);
            async move { standin.answer(&request) }
        });
        runtime.block_on(server.serve(runtime.executor(), listener, stopped));
        Ok(())
    }

    fn answer(&self, request: &Request<Bytes>) -> Response<Bytes> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control/switch") => {
                parsed(request.body(), |switch: Switch| self.switch(&switch))
            }
            (_, path) => Problem::new(StatusCode::NOT_FOUND, "no-such-path", path).response(),
        }
    }

    fn switch(&self, switch: &Switch) -> Response<Bytes> {
        let named = self.links.iter().filter(|(name, _)| *name == switch.link);
        let mut count = 0;
        for (_, link) in named {
            link.switch(switch.mode);
            link.delay(Duration::from_millis(switch.delay_ms));
            count += 1;
        }
        if count == 0 {
            return Problem::new(StatusCode::NOT_FOUND, "no-such-link", &switch.link).response();
        }
        reply_json(StatusCode::OK, &json!({ "links": count }))
    }
}
