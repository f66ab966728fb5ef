//! Holds streams open in a separate process, so that reading them does not affect the measurement.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use berylstep_http::ClientConnection;
use http_types::{Method, Request, Url};
use serde_json::json;
use smol::io::AsyncReadExt;

use super::trial::{BACKGROUND_MODEL, CALLER_KEY};
use crate::process::ChildProcess;

/// Limit of output tokens of a stream held open, which is never reached.
const ENDLESS_TOKENS: u64 = 100_000_000;

/// Interval between checks of the number of open streams.
const OPEN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts a process that holds `count` streams to `address` open; returns once all have received
/// data.
///
/// Fails if the process cannot be started or a stream cannot be opened.
pub fn start(address: SocketAddr, count: usize) -> std::io::Result<ChildProcess> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["streams", "--address", &address.to_string(), "--count", &count.to_string()]);
    let (process, _) = ChildProcess::start_listener(&mut command)?;
    Ok(process)
}

/// Holds `count` streams to `address` open until the process is killed.
///
/// Exits the process with code 1 if a stream ends.
pub async fn hold(address: SocketAddr, count: usize) -> std::io::Result<()> {
    let open = Arc::new(AtomicUsize::new(0));
    for number in 0..count {
        let open = open.clone();
        let stream = async move {
            if let Err(err) = hold_one(address, number, &open).await {
                eprintln!("stream {number} ended: {err}");
                std::process::exit(1);
            }
        };
        smol::spawn(stream).detach();
    }
    while open.load(Ordering::Relaxed) < count {
        smol::Timer::after(OPEN_POLL_INTERVAL).await;
    }
    println!("listening {address}");
    std::future::pending().await
}

async fn hold_one(
    address: SocketAddr,
    number: usize,
    open: &AtomicUsize,
) -> Result<(), Box<dyn std::error::Error>> {
    let url = Url::parse(&format!("http://{address}/v1/chat/completions"))?;
    let mut request = Request::new(Method::Post, url);
    let message = json!({ "role": "user", "content": format!("background {number}") });
    let body = json!({
        "model": BACKGROUND_MODEL, "stream": true, "max_tokens": ENDLESS_TOKENS,
        "messages": [message],
    });
    request.set_body(body.to_string());
    request.insert_header("authorization", format!("Bearer {CALLER_KEY}"));
    let mut answer = ClientConnection::connect(address).await?.exchange(request).await?;
    if answer.response.status() != 200 {
        return Err(format!("status {}", answer.response.status()).into());
    }
    let mut chunk = [0; 4096];
    let mut is_open = false;
    while answer.response.read(&mut chunk).await? > 0 {
        if !std::mem::replace(&mut is_open, true) {
            open.fetch_add(1, Ordering::Relaxed);
        }
    }
    Err("the stream ended".into())
}
