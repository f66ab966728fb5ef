//! Mutual authentication of two nodes.

use berylstep_core::collections::SharedName;
use berylstep_http::socket;
use berylstep_wire::codec::{CodecError, FrameCodec};
use berylstep_wire::frame::Body;
use berylstep_wire::{Challenge, Frame, Hello, MIN_PROTOCOL_VERSION, PROTOCOL_VERSION};
use displaydoc::Display;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use smol::net::TcpStream;
use tokio_util::codec::{FramedRead, FramedWrite};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt, FuturesAsyncWriteCompatExt};

use crate::node::NodeContext;

/// Bytes of a nonce.
const NONCE_BYTES: usize = 32;

/// Why a peer was turned away.
#[derive(Debug, Display)]
pub enum HandshakeError {
    /// {0}
    Codec(CodecError),
    /// link: {0}
    Io(std::io::Error),
    /// link closed during the handshake
    Closed,
    /// unexpected message during the handshake
    Unexpected,
    /// peer belongs to cluster {0}
    ForeignCluster(String),
    /// peer speaks protocol {0}, which is too old
    Protocol(u32),
    /// peer does not hold the site secret
    Unauthentic,
    /// peer says that it is this node
    Itself,
    /// handshake timed out
    Timeout,
}

/// Why a link was turned away or dropped, as counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkRefusal {
    /// The other side belongs to another cluster.
    ForeignCluster,
    /// The other side does not hold the site secret.
    Unauthentic,
    /// The other side speaks a protocol that is too old.
    Protocol,
    /// The other side says that it is this node.
    Itself,
    /// A frame was larger than accepted.
    Oversized,
    /// A frame was no valid message, or not the expected one.
    Malformed,
    /// Nothing came in time.
    Silent,
    /// The link broke.
    Broken,
}

/// How an error of the codec is counted.
pub fn codec_refusal(err: &CodecError) -> LinkRefusal {
    match err {
        CodecError::Io(err) if err.kind() == std::io::ErrorKind::InvalidData => {
            LinkRefusal::Oversized
        }
        CodecError::Io(_) => LinkRefusal::Broken,
        CodecError::Decode(_) => LinkRefusal::Malformed,
    }
}

impl HandshakeError {
    /// How the error is counted.
    pub fn refusal(&self) -> LinkRefusal {
        match self {
            Self::Codec(err) => codec_refusal(err),
            Self::Io(_) | Self::Closed => LinkRefusal::Broken,
            Self::Unexpected => LinkRefusal::Malformed,
            Self::ForeignCluster(_) => LinkRefusal::ForeignCluster,
            Self::Protocol(_) => LinkRefusal::Protocol,
            Self::Unauthentic => LinkRefusal::Unauthentic,
            Self::Itself => LinkRefusal::Itself,
            Self::Timeout => LinkRefusal::Silent,
        }
    }
}

impl std::error::Error for HandshakeError {}

impl From<CodecError> for HandshakeError {
    fn from(err: CodecError) -> Self {
        Self::Codec(err)
    }
}

impl From<std::io::Error> for HandshakeError {
    fn from(err: std::io::Error) -> Self {
        Self::Io(err)
    }
}

/// Reading half of a link.
pub type FrameReader = FramedRead<Compat<TcpStream>, FrameCodec>;

/// Writing half of a link.
pub type FrameWriter = FramedWrite<Compat<TcpStream>, FrameCodec>;

/// An authenticated link.
#[derive(Debug)]
pub struct PeerSession {
    /// Name of the other node.
    pub peer: SharedName,
    /// What the other node said of itself.
    pub hello: Hello,
    /// Whether the link was dialled by the node that keeps it: the one with the lower name.
    pub preferred: bool,
    /// Reading half.
    pub reader: FrameReader,
    /// Writing half.
    pub writer: FrameWriter,
}

/// Which side of the link a proof comes from; keeps a proof from being sent back as one's own.
#[derive(Clone, Copy, Debug)]
enum LinkSide {
    Dialler,
    Acceptor,
}

/// Authenticates the node that dialled.
pub async fn accept(node: &NodeContext, stream: TcpStream) -> Result<PeerSession, HandshakeError> {
    let (mut reader, mut writer) = halves(stream)?;
    let nonce = new_nonce()?;
    send(&mut writer, Body::Challenge(Challenge { nonce: nonce.clone() })).await?;
    let Body::Hello(theirs) = receive(&mut reader).await? else {
        return Err(HandshakeError::Unexpected);
    };
    check(node, &theirs, &nonce, LinkSide::Dialler)?;
    let own = hello(node, Vec::new(), &theirs.nonce, LinkSide::Acceptor);
    send(&mut writer, Body::Hello(own)).await?;
    let preferred = *theirs.node < *node.settings.node;
    Ok(session(theirs, preferred, reader, writer))
}

/// Authenticates to the node that was dialled, and the other way round.
pub async fn dial(node: &NodeContext, stream: TcpStream) -> Result<PeerSession, HandshakeError> {
    let (mut reader, mut writer) = halves(stream)?;
    let Body::Challenge(challenge) = receive(&mut reader).await? else {
        return Err(HandshakeError::Unexpected);
    };
    let nonce = new_nonce()?;
    let own = hello(node, nonce.clone(), &challenge.nonce, LinkSide::Dialler);
    send(&mut writer, Body::Hello(own)).await?;
    let Body::Hello(theirs) = receive(&mut reader).await? else {
        return Err(HandshakeError::Unexpected);
    };
    check(node, &theirs, &nonce, LinkSide::Acceptor)?;
    let preferred = *node.settings.node < *theirs.node;
    Ok(session(theirs, preferred, reader, writer))
}

fn halves(stream: TcpStream) -> std::io::Result<(FrameReader, FrameWriter)> {
    socket::configure(&stream)?;
    let reader = FramedRead::new(stream.clone().compat(), FrameCodec::default());
    let writer = FramedWrite::new(stream.compat_write(), FrameCodec::default());
    Ok((reader, writer))
}

fn session(
    theirs: Hello,
    preferred: bool,
    reader: FrameReader,
    writer: FrameWriter,
) -> PeerSession {
    PeerSession { peer: theirs.node.as_str().into(), hello: theirs, preferred, reader, writer }
}

fn hello(node: &NodeContext, nonce: Vec<u8>, their_nonce: &[u8], side: LinkSide) -> Hello {
    let settings = &node.settings;
    let mut hello = Hello {
        protocol: PROTOCOL_VERSION,
        cluster: settings.cluster.to_string(),
        node: settings.node.to_string(),
        incarnation: node.incarnation(),
        zone: settings.zone.to_string(),
        region: settings.region.to_string(),
        peer_address: settings.peer_advertise.to_string(),
        caller_address: settings.advertise.to_string(),
        nonce,
        mac: Vec::new(),
    };
    hello.mac = proof(node, &hello, their_nonce, side).finalize().into_bytes().to_vec();
    hello
}

fn check(
    node: &NodeContext,
    theirs: &Hello,
    own_nonce: &[u8],
    side: LinkSide,
) -> Result<(), HandshakeError> {
    let proof = proof(node, theirs, own_nonce, side);
    proof.verify_slice(&theirs.mac).map_err(|_| HandshakeError::Unauthentic)?;
    if *theirs.cluster != *node.settings.cluster {
        return Err(HandshakeError::ForeignCluster(theirs.cluster.clone()));
    }
    if theirs.protocol < MIN_PROTOCOL_VERSION {
        return Err(HandshakeError::Protocol(theirs.protocol));
    }
    if *theirs.node == *node.settings.node {
        return Err(HandshakeError::Itself);
    }
    Ok(())
}

/// HMAC over the verifier's nonce and the fields, each preceded by its length.
fn proof(node: &NodeContext, hello: &Hello, nonce: &[u8], side: LinkSide) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&node.settings.site_secret)
        .expect("HMAC takes keys of any length");
    let side: &[u8] = match side {
        LinkSide::Dialler => b"dialler",
        LinkSide::Acceptor => b"acceptor",
    };
    let protocol = hello.protocol.to_be_bytes();
    let incarnation = hello.incarnation.to_be_bytes();
    let fields = [
        side,
        nonce,
        &protocol,
        hello.cluster.as_bytes(),
        hello.node.as_bytes(),
        &incarnation,
        hello.zone.as_bytes(),
        hello.region.as_bytes(),
        hello.peer_address.as_bytes(),
        hello.caller_address.as_bytes(),
        &hello.nonce,
    ];
    for field in fields {
        mac.update(&(field.len() as u64).to_be_bytes());
        mac.update(field);
    }
    mac
}

fn new_nonce() -> std::io::Result<Vec<u8>> {
    let mut nonce = vec![0; NONCE_BYTES];
    getrandom::fill(&mut nonce).map_err(std::io::Error::other)?;
    Ok(nonce)
}

async fn send(writer: &mut FrameWriter, body: Body) -> Result<(), HandshakeError> {
    Ok(writer.send(Frame { body: Some(body) }).await?)
}

async fn receive(reader: &mut FrameReader) -> Result<Body, HandshakeError> {
    let frame = reader.next().await.ok_or(HandshakeError::Closed)??;
    frame.body.ok_or(HandshakeError::Unexpected)
}
