//! HTTP/1.1 connections on `async-h1`, with the checks that a router needs.
//!
//! `async-h1` accepts truncated bodies, conflicting lengths and answers without framing. The
//! connections here read and check each message head first, and hand `async-h1` a stream that ends
//! exactly where the message ends and fails where the peer breaks off.

pub mod body;
pub mod client;
pub mod decoder;
pub mod framed;
pub mod head;
pub mod message;
pub mod server;
pub mod socket;

pub use body::{channel_body, task_body, BodySender};
pub use client::{ClientConnection, ClientResponse, ExchangeError, SendTerms};
pub use decoder::{BodyDecoder, BodyError};
pub use head::{BodyFraming, HeadError};
pub use message::{HeaderList, MessageStream, RequestMessage, ResponseMessage};
pub use server::{ReceiveError, ReceivedRequest, ServerConnection};
