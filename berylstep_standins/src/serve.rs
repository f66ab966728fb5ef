//! HTTP server shared by the stand-ins.

use std::future::Future;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;

use berylstep_http::{ReceivedRequest, ServerConnection};
use http_types::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;
use smol::net::{TcpListener, TcpStream};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Internal header of a response that is dropped instead of being sent.
const LOST_ANSWER_HEADER: &str = "x-standin-lost";

/// Prints the bound address, then serves requests on `address` with the handler `respond`.
pub async fn serve<R, F>(address: SocketAddr, respond: R) -> std::io::Result<()>
where
    R: Fn(ReceivedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    println!("listening {}", listener.local_addr()?);
    let respond = Arc::new(respond);
    loop {
        let (stream, _) = listener.accept().await?;
        smol::spawn(serve_connection(stream, respond.clone())).detach();
    }
}

async fn serve_connection<R, F>(stream: TcpStream, respond: Arc<R>)
where
    R: Fn(ReceivedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut connection = ServerConnection::new(stream.clone());
    while connection.is_reusable() {
        let Ok(Some(received)) = connection.receive(MAX_BODY_BYTES).await else { return };
        let method = received.request.method();
        let answer = async {
            let response = respond(received).await;
            if response.header(LOST_ANSWER_HEADER).is_some() {
                let _ = stream.shutdown(Shutdown::Both);
            }
            response
        };
        connection.serve(method, answer).await;
    }
}

/// Creates a response that is never sent: the server closes the connection instead.
pub fn lost_answer() -> Response {
    let mut response = status(500);
    response.insert_header(LOST_ANSWER_HEADER, "true");
    response
}

/// Creates a response with a JSON body.
pub fn json(message: &impl Serialize) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(message).expect("messages are valid JSON"));
    response.insert_header("content-type", "application/json");
    response
}

/// Creates a response with this status and no body.
pub fn status(status: u16) -> Response {
    Response::new(StatusCode::try_from(status).expect("known status"))
}

/// Parses a JSON body, or returns a response with status 400 and the error.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Response>> {
    serde_json::from_slice(body).map_err(|err| {
        let mut response = status(400);
        response.set_body(err.to_string());
        Box::new(response)
    })
}

/// Returns the value of a query parameter; empty if absent.
pub fn query(request: &Request, name: &str) -> String {
    let mut pairs = request.url().query_pairs();
    pairs.find(|(key, _)| key == name).map_or(String::new(), |(_, value)| value.into_owned())
}
