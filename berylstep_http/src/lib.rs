//! HTTP/1.1 connections on top of `async-h1`, with the validation that a router needs.
//!
//! `async-h1` accepts truncated bodies, conflicting lengths and responses without framing. The
//! connections of this crate read and validate each message head themselves and give `async-h1` a
//! stream that ends exactly at the end of the message and fails if the peer closes it earlier.

pub mod body;
pub mod client;
pub mod decoder;
pub mod framed;
pub mod head;
pub mod message;
pub mod server;
pub mod socket;
mod turn;

pub use body::{channel_body, task_body, BodySender};
pub use client::{ClientConnection, ClientResponse, ExchangeError, SendTerms};
pub use decoder::{BodyDecoder, BodyError};
pub use head::{BodyFraming, HeadError};
pub use message::{HeaderList, MessageStream, MessageWriter, RequestMessage, ResponseMessage};
pub use server::{ReceiveError, ReceivedRequest, ServerConnection};
