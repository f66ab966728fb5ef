//! Streaming an upstream's answer to the caller.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::refusal::RunState;
use berylstep_http::client::{ConnectionReuse, REQUEST_ID_HEADER};
use berylstep_http::{produced_body, BodySender, ClientAnswer};
use http_types::{Body, Response};
use smol::io::AsyncReadExt;

use super::request::CallerRequest;
use super::response::RUN_HEADER;
use crate::node::NodeContext;
use crate::slots::SlotGuard;
use crate::usage::{self, UsageEvent};

/// Longest gap between two reads of an upstream's answer.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(15);

const CHUNK_BYTES: usize = 4 * 1024;

/// Headers of an answer that concern one connection only.
const CONNECTION_HEADERS: &[&str] =
    &["connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade"];

/// Makes the caller's answer from the upstream's; its body is streamed by a task of its own.
pub fn relay(
    node: &Arc<NodeContext>,
    answer: ClientAnswer,
    slot: SlotGuard,
    id: SharedName,
    request: &CallerRequest,
) -> Response {
    let ClientAnswer { response: mut upstream_response, reuse } = answer;
    let mut response = Response::new(upstream_response.status());
    let body = upstream_response.take_body();
    let length = body.len();
    let stream = AnswerStream { node: node.clone(), slot, body, reuse, id: id.clone() };
    let organisation = request.organisation.clone().unwrap_or_else(|| "".into());
    let class = request.class.name.clone();
    usage::record(node, &UsageEvent { organisation, class, input_tokens: 0, output_tokens: 0 });
    log::debug!("answer begins: request={id} class={}", request.class.name);
    response.set_body(produced_body(length, |sender| stream.run(sender)));
    response.remove_header("content-type");
    for (name, values) in upstream_response.iter() {
        if CONNECTION_HEADERS.contains(&name.as_str()) {
            continue;
        }
        for value in values.iter() {
            response.append_header(name.clone(), value.clone());
        }
    }
    response.insert_header(REQUEST_ID_HEADER, &*id);
    response.insert_header(RUN_HEADER, RunState::Ran.as_str());
    response
}

/// An answer that is being streamed.
struct AnswerStream {
    node: Arc<NodeContext>,
    slot: SlotGuard,
    body: Body,
    reuse: ConnectionReuse,
    id: SharedName,
}

impl AnswerStream {
    /// Copies the body; where it breaks off, the caller's answer breaks off too.
    async fn run(mut self, sender: BodySender) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let reading = self.body.read(&mut chunk);
            let count = match self.node.clock.timeout(PROGRESS_TIMEOUT, reading).await {
                Some(Ok(count)) => count,
                Some(Err(err)) => return self.log_broken(&err.to_string()),
                None => return self.log_broken("no progress"),
            };
            if count == 0 {
                self.node.connections.give_back(self.slot.upstream.address, self.reuse);
                return sender.finish();
            }
            if sender.send(chunk[..count].to_vec()).await.is_err() {
                return;
            }
        }
    }

    fn log_broken(&self, cause: &str) {
        log::warn!(
            "answer broken: request={} upstream={} cause={cause}",
            self.id,
            self.slot.upstream.id
        );
    }
}
