//! Requests that a server connection accepts or rejects, tested over raw sockets.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use berylstep_http::{ReceivedRequest, ServerConnection};
use http_types::{Method, Response, StatusCode};
use smol::net::TcpListener;

const MAX_BODY_BYTES: usize = 1_000;

const READ_TIMEOUT: Duration = Duration::from_secs(5);

struct EchoServer {
    address: SocketAddr,
    handled: Arc<AtomicUsize>,
    _task: smol::Task<()>,
}

impl EchoServer {
    fn start() -> Self {
        let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let handled = Arc::new(AtomicUsize::new(0));
        let counted = handled.clone();
        let task = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                smol::spawn(serve(ServerConnection::new(stream), counted.clone())).detach();
            }
        });
        Self { address, handled, _task: task }
    }

    fn handled(&self) -> usize {
        self.handled.load(Ordering::SeqCst)
    }
}

async fn serve(mut connection: ServerConnection, handled: Arc<AtomicUsize>) {
    while connection.is_reusable() {
        match connection.receive(MAX_BODY_BYTES).await {
            Ok(None) => return,
            Ok(Some(ReceivedRequest { request, body })) => {
                handled.fetch_add(1, Ordering::SeqCst);
                let mut response = Response::new(StatusCode::Ok);
                response.set_body([b"<", &body[..], b">"].concat());
                connection.serve(request.method(), async { response }).await;
            }
            Err(err) => {
                let Some(status) = err.status() else { return };
                let response = Response::new(StatusCode::try_from(status).unwrap());
                connection.serve(Method::Post, async { response }).await;
            }
        }
    }
}

/// Sends `bytes`, shuts down its sending side if `closes` is set, and reads until the end.
fn exchange(address: SocketAddr, bytes: &[u8], closes: bool) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    if closes {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut answer = Vec::new();
    // The server may reset the connection after its response.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

struct ServerCase {
    name: &'static str,
    bytes: String,
    closes: bool,
    /// Statuses of the responses, in order, without interim ones.
    statuses: &'static [u16],
    /// Requests that reach the handler.
    handled: usize,
    contains: &'static str,
}

fn statuses(answer: &str) -> Vec<u16> {
    let lines = answer.split("HTTP/1.1 ").skip(1);
    lines.map(|line| line[..3].parse().unwrap()).filter(|status| *status != 100).collect()
}

#[test]
fn requests_are_received_completely_or_rejected() {
    let server_case = |name, bytes: &str, statuses, handled| ServerCase {
        name,
        bytes: bytes.to_owned(),
        closes: false,
        statuses,
        handled,
        contains: "",
    };
    let close = "connection: close\r\n";
    let cases = [
        ServerCase {
            contains: "<seat=1>",
            ..server_case(
                "whole body",
                &format!("POST / HTTP/1.1\r\nhost: n\r\n{close}content-length: 6\r\n\r\nseat=1"),
                &[200],
                1,
            )
        },
        ServerCase {
            contains: "<seat=1>",
            ..server_case(
                "chunked body",
                "POST / HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n\r\n\
                 4\r\nseat\r\n2\r\n=1\r\n0\r\n\r\n",
                &[200],
                1,
            )
        },
        ServerCase {
            closes: true,
            ..server_case(
                "fewer bytes than the length",
                "POST / HTTP/1.1\r\nhost: n\r\ncontent-length: 9\r\n\r\nseat=1",
                &[400],
                0,
            )
        },
        server_case(
            "line without a chunk size",
            "POST / HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n\r\n\
             4\r\nseat\r\n\r\n\r\n",
            &[400],
            0,
        ),
        ServerCase {
            closes: true,
            ..server_case(
                "chunks without an end",
                "POST / HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n\r\n4\r\nseat\r\n",
                &[400],
                0,
            )
        },
        server_case(
            "malformed chunk",
            "POST / HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nseat\r\n0\r\n\r\n",
            &[400],
            0,
        ),
        server_case(
            "two lengths",
            "POST / HTTP/1.1\r\nhost: n\r\ncontent-length: 3\r\ncontent-length: 6\r\n\r\nseat=1",
            &[400],
            0,
        ),
        server_case(
            "length and chunks",
            "POST / HTTP/1.1\r\nhost: n\r\ncontent-length: 6\r\n\
             transfer-encoding: chunked\r\n\r\nseat=1",
            &[400],
            0,
        ),
        server_case(
            "signed length",
            "POST / HTTP/1.1\r\nhost: n\r\ncontent-length: +6\r\n\r\nseat=1",
            &[400],
            0,
        ),
        server_case("malformed head", "what is this\r\n\r\n", &[400], 0),
        server_case("HTTP/1.0", "GET / HTTP/1.0\r\nhost: n\r\n\r\n", &[505], 0),
        server_case("no host", "GET / HTTP/1.1\r\n\r\n", &[400], 0),
        server_case(
            "head above 8 KiB",
            &format!("GET / HTTP/1.1\r\nhost: n\r\nx: {}\r\n\r\n", "x".repeat(8_200)),
            &[431],
            0,
        ),
        server_case(
            "body above the limit",
            "POST / HTTP/1.1\r\nhost: n\r\ncontent-length: 1001\r\n\r\n",
            &[413],
            0,
        ),
        server_case(
            "chunks above the limit",
            &format!(
                "POST / HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n\r\n\
                 3e9\r\n{}\r\n0\r\n\r\n",
                "x".repeat(1_001)
            ),
            &[413],
            0,
        ),
        ServerCase {
            contains: "<two>",
            ..server_case(
                "two requests at once",
                &format!(
                    "POST / HTTP/1.1\r\nhost: n\r\ncontent-length: 3\r\n\r\none\
                     POST / HTTP/1.1\r\nhost: n\r\n{close}content-length: 3\r\n\r\ntwo"
                ),
                &[200, 200],
                2,
            )
        },
        ServerCase {
            contains: "HTTP/1.1 100 Continue",
            ..server_case(
                "100-continue",
                &format!(
                    "POST / HTTP/1.1\r\nhost: n\r\n{close}expect: 100-continue\r\n\
                     content-length: 3\r\n\r\none"
                ),
                &[200],
                1,
            )
        },
        server_case(
            "100-continue above the limit",
            "POST / HTTP/1.1\r\nhost: n\r\nexpect: 100-continue\r\ncontent-length: 1001\r\n\r\n",
            &[413],
            0,
        ),
        server_case(
            "another expectation",
            "POST / HTTP/1.1\r\nhost: n\r\nexpect: wonders\r\ncontent-length: 3\r\n\r\none",
            &[417],
            0,
        ),
        ServerCase { closes: true, ..server_case("half a head", "GET / HTT", &[], 0) },
    ];
    for case in cases {
        let server = EchoServer::start();
        let answer = exchange(server.address, case.bytes.as_bytes(), case.closes);
        assert_eq!(statuses(&answer), case.statuses, "{}: {answer}", case.name);
        assert_eq!(server.handled(), case.handled, "{}", case.name);
        assert!(answer.contains(case.contains), "{}: {answer}", case.name);
        let continues = answer.contains("100 Continue");
        assert!(!continues || case.handled > 0, "{}: asked for a refused body", case.name);
    }
}

#[test]
fn closing_the_connection_cancels_the_handler() {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: n\r\n\r\n").unwrap();
    let outcome = smol::block_on(async {
        let (accepted, _) = listener.accept().await.unwrap();
        let mut connection = ServerConnection::new(accepted);
        connection.receive(MAX_BODY_BYTES).await.unwrap().unwrap();
        drop(stream);
        connection.serve(Method::Get, smol::future::pending()).await
    });
    assert_eq!(outcome, berylstep_http::server::ServeOutcome::PeerLeft);
}
