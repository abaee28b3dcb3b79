//! HTTP/1.1 server and pooled client on `smol` and `hyper`.
//!
//! Both sides limit the size of bodies and disconnect slow peers after a timeout. On shutdown the
//! server finishes the requests in flight before it returns.
//!
//! ```
//! use cranberryhatch_http::{Client, Problem, Runtime, Server, reply_json};
//! use http::{Request, Response, StatusCode};
//!
//! let runtime = Runtime::new(2);
//! let listener = runtime.block_on(smol::net::TcpListener::bind("127.0.0.1:0")).expect("bind");
//! let addr = listener.local_addr().expect("address");
//! let (stop, stopped) = async_channel::bounded::<()>(1);
//! let server = Server::new(|_request| async { reply_json(StatusCode::OK, &"hello") });
//! let task = runtime.spawn(server.serve(runtime.executor(), listener, stopped));
//! let client = Client::new(runtime.executor());
//! let request = Request::get("/").body(bytes::Bytes::new()).expect("request");
//! let response = runtime.block_on(client.send(addr, request)).expect("response");
//! assert_eq!(response.body().as_ref(), b"\"hello\"");
//! drop(stop);
//! runtime.block_on(task);
//! ```

mod budget;
mod client;
mod client_error;
mod peer_identity;
mod peer_liveness;
mod problem;
mod runtime;
mod server;
mod write_timeout_stream;

pub use client::{Client, Delivery, PeerCheck};
pub use client_error::ClientError;
pub use peer_identity::PeerIdentity;
pub use problem::{Problem, reply_json};
pub use runtime::Runtime;
pub use server::{Handler, Server};
