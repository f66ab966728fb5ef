//! Forwarded messages: heads, bodies that arrive in pieces, and cancelled reads.

use std::io::{ErrorKind, Write};
use std::time::Duration;

use berylstep_http::{BodyDecoder, BodyError, MessageStream, RequestMessage, ResponseMessage};
use proptest::prelude::*;
use smol::future;
use smol::net::{TcpListener, TcpStream};

struct HeadCase {
    name: &'static str,
    head: &'static str,
    accepted: bool,
}

#[test]
fn ambiguous_requests_are_rejected() {
    let cases = [
        HeadCase { name: "plain", head: "GET /a//b/../c?x=%20 HTTP/1.1\r\nHost: h\r\n\r\n", accepted: true },
        HeadCase { name: "two hosts", head: "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", accepted: false },
        HeadCase { name: "no host", head: "GET / HTTP/1.1\r\n\r\n", accepted: false },
        HeadCase {
            name: "length and chunks",
            head: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            accepted: false,
        },
        HeadCase {
            name: "two lengths",
            head: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
            accepted: false,
        },
        HeadCase {
            name: "signed length",
            head: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n",
            accepted: false,
        },
        HeadCase {
            name: "unknown transfer encoding",
            head: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            accepted: false,
        },
        HeadCase { name: "absolute target", head: "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", accepted: false },
        HeadCase {
            name: "line feed before a name",
            head: "POST / HTTP/1.1\r\nHost: h\r\n\nContent-Length: 3\r\n\r\n",
            accepted: false,
        },
        HeadCase { name: "old version", head: "GET / HTTP/1.0\r\nHost: h\r\n\r\n", accepted: false },
    ];
    for case in cases {
        let parsed = RequestMessage::parse(case.head.as_bytes());
        assert_eq!(parsed.is_ok(), case.accepted, "{}: {parsed:?}", case.name);
    }
}

#[test]
fn targets_and_header_values_are_preserved_byte_for_byte() {
    let head = "POST /a//b/../c?x=%20&y HTTP/1.1\r\nHost: H.example\r\nX-Odd: \u{e9}  b\r\n\r\n";
    let message = RequestMessage::parse(head.as_bytes()).unwrap();
    assert_eq!(message.target, "/a//b/../c?x=%20&y");
    assert_eq!(message.path(), "/a//b/../c");
    assert_eq!(message.headers.get("x-odd"), Some("\u{e9}  b"));
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let head = "GET / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Once\r\nX-Once: 1\r\n\
                Keep-Alive: timeout=5\r\nTE: trailers\r\nUpgrade: h2c\r\nContent-Length: 0\r\n\
                X-Kept: 2\r\n\r\n";
    let message = RequestMessage::parse(head.as_bytes()).unwrap();
    let kept: Vec<_> = message.headers.end_to_end().map(|field| &*field.name).collect();
    assert_eq!(kept, ["Host", "X-Kept"]);
}

struct BodyCase {
    name: &'static str,
    head: &'static str,
    body: &'static str,
    /// Content, or `None` if the connection ends before the body is complete.
    content: Option<&'static str>,
    keep_alive: bool,
}

const BODY_CASES: &[BodyCase] = &[
    BodyCase {
        name: "length",
        head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
        body: "hello",
        content: Some("hello"),
        keep_alive: true,
    },
    BodyCase {
        name: "short of its length",
        head: "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n",
        body: "hello",
        content: None,
        keep_alive: true,
    },
    BodyCase {
        name: "chunks with a trailer",
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        body: "2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nX-T: 1\r\n\r\n",
        content: Some("hello"),
        keep_alive: true,
    },
    BodyCase {
        name: "chunks with a malformed trailer",
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        body: "5\r\nhello\r\n0\r\nX Broken\x07: 1\r\n\r\n",
        content: Some("hello"),
        keep_alive: true,
    },
    BodyCase {
        name: "trailers without their end",
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        body: "5\r\nhello\r\n0\r\nX-T: 1\r\n",
        content: None,
        keep_alive: true,
    },
    BodyCase {
        name: "chunks without the last",
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        body: "2\r\nhe\r\n3\r\nllo\r\n",
        content: None,
        keep_alive: true,
    },
    BodyCase {
        name: "chunk without its end",
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        body: "2\r\nhexx0\r\n\r\n",
        content: None,
        keep_alive: true,
    },
    BodyCase {
        name: "line without a chunk size",
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        body: "2\r\nhe\r\n\r\n\r\n",
        content: None,
        keep_alive: true,
    },
    BodyCase {
        name: "chunk extension without a size",
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        body: "2\r\nhe\r\n;x=y\r\n\r\n",
        content: None,
        keep_alive: true,
    },
    BodyCase {
        name: "blank before a chunk size",
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        body: "2\r\nhe\r\n 0\r\n\r\n",
        content: None,
        keep_alive: true,
    },
    BodyCase {
        name: "until the connection closes",
        head: "HTTP/1.1 200 OK\r\n\r\n",
        body: "hello",
        content: Some("hello"),
        keep_alive: false,
    },
    BodyCase {
        name: "no body by status",
        head: "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
        body: "",
        content: Some(""),
        keep_alive: true,
    },
];

/// Decodes a body that arrives in pieces of `piece_bytes` bytes, followed by an orderly close.
fn decode(case: &BodyCase, piece_bytes: usize) -> Result<String, BodyError> {
    let response = ResponseMessage::parse(case.head.as_bytes()).unwrap();
    let mut decoder = BodyDecoder::response(&response, "GET");
    let (mut input, mut content) = (Vec::new(), Vec::new());
    for piece in case.body.as_bytes().chunks(piece_bytes) {
        input.extend_from_slice(piece);
        decoder.decode(&mut input, &mut content)?;
    }
    if !decoder.is_complete() {
        decoder.handle_eof()?;
    }
    Ok(String::from_utf8(content).unwrap())
}

#[test]
fn keep_alive_follows_the_framing() {
    for case in BODY_CASES {
        let response = ResponseMessage::parse(case.head.as_bytes()).unwrap();
        let expected = case.keep_alive && response.framing != berylstep_http::BodyFraming::Unframed;
        assert_eq!(
            response.keep_alive,
            expected || case.name == "no body by status",
            "{}",
            case.name
        );
    }
}

proptest! {
    #[test]
    fn body_content_is_independent_of_piece_size(piece_bytes in 1..40usize) {
        for case in BODY_CASES {
            let decoded = decode(case, piece_bytes).ok();
            prop_assert_eq!(decoded.as_deref(), case.content, "{} in pieces of {}", case.name, piece_bytes);
        }
    }
}

#[test]
fn cancelled_read_leaves_no_buffered_bytes() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (accepted, _): (TcpStream, _) = listener.accept().await.unwrap();
        let mut stream = MessageStream::new(accepted);
        for _ in 0..3 {
            let waiting = async { stream.fill().await.map(|_| ()) };
            let cancelling = async {
                smol::Timer::after(Duration::from_millis(5)).await;
                Ok(())
            };
            future::or(waiting, cancelling).await.unwrap();
            assert_eq!(stream.buffered_bytes(), 0);
        }
        let head = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        peer.write_all(head).unwrap();
        assert_eq!(stream.read_head(1024).await.unwrap().unwrap(), head);
    });
}

// Guards against a peer that sends faster than it is read and keeps the thread to itself.
#[test]
fn a_body_that_is_always_readable_lets_other_tasks_run() {
    const MAX_BYTES: usize = 64 << 20;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let writer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let block = [b'x'; 1 << 16];
        while stream.write_all(&block).is_ok() {}
    });
    let tasks = smol::LocalExecutor::new();
    let has_run = std::rc::Rc::new(std::cell::Cell::new(false));
    let received = smol::block_on(tasks.run(async {
        let stream = TcpStream::connect(address).await.unwrap();
        let head = b"HTTP/1.1 200 OK\r\n\r\n";
        let mut decoder = BodyDecoder::response(&ResponseMessage::parse(head).unwrap(), "GET");
        let mut message = MessageStream::new(stream);
        smol::Timer::after(Duration::from_millis(100)).await;
        let other = has_run.clone();
        tasks.spawn(async move { other.set(true) }).detach();
        let (mut received, mut content) = (0, Vec::new());
        while !has_run.get() && received < MAX_BYTES {
            message.read_content(&mut decoder, &mut content).await.unwrap();
            received += content.len();
            content.clear();
        }
        received
    }));
    writer.join().unwrap();
    assert!(has_run.get(), "{received} bytes were read in one go");
}

struct ResetCase {
    name: &'static str,
    /// Whether the peer ends its own direction before it resets the connection.
    ends_direction: bool,
    /// What the write reports.
    error: ErrorKind,
}

// Guards against the end of a connection that looks orderly to the reader, because the writer got the error.
#[test]
fn a_reset_that_a_write_reports_fails_the_reads_after_it() {
    let cases = [
        ResetCase { name: "reset", ends_direction: false, error: ErrorKind::ConnectionReset },
        ResetCase { name: "end, then reset", ends_direction: true, error: ErrorKind::BrokenPipe },
    ];
    for case in cases {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut stream = MessageStream::new(
            smol::block_on(TcpStream::connect(listener.local_addr().unwrap())).unwrap(),
        );
        let mut writer = stream.writer();
        smol::block_on(writer.write_all(b"request")).unwrap();
        let (mut peer, _) = listener.accept().unwrap();
        peer.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").unwrap();
        if case.ends_direction {
            peer.shutdown(std::net::Shutdown::Write).unwrap();
        }
        // The request is unread, so that the connection is reset.
        drop(peer);
        let (content, end) = smol::block_on(async {
            smol::Timer::after(Duration::from_millis(50)).await;
            let err = writer.write_all(b"rest").await.expect_err("the connection is closed");
            assert_eq!(err.kind(), case.error, "{}", case.name);
            let head = stream.read_head(1024).await.unwrap().unwrap();
            let response = ResponseMessage::parse(&head).unwrap();
            let (mut decoder, mut content) = (BodyDecoder::response(&response, "GET"), Vec::new());
            stream.read_content(&mut decoder, &mut content).await.unwrap();
            let end = stream.read_content(&mut decoder, &mut content).await;
            (content, end)
        });
        assert_eq!(content, b"part", "{}", case.name);
        assert!(end.is_err(), "{}: the body looks complete", case.name);
    }
}
