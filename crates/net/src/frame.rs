//! Length-delimited frames between processes of the system.

use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use monoio::io::IntoPollIo;

use monoio::net::TcpStream;
use monoio::net::tcp::stream_poll::TcpStreamPoll as PollStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum length of a frame; receiving a longer one is an error.
pub const MAX_FRAME_BYTES: usize = 2_000_000;

/// TCP connection that carries frames.
pub struct FrameStream(Framed<PollStream, LengthDelimitedCodec>);

impl FrameStream {
    /// Connects to a peer.
    pub async fn connect(peer: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect(peer).await?)
    }

    /// Wraps an open connection.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Ok(Self(Framed::new(stream.into_poll_io()?, codec)))
    }

    /// Sends one frame.
    pub async fn send(&mut self, frame: Bytes) -> io::Result<()> {
        self.0.send(frame).await
    }

    /// Receives one frame; `None` once the peer has closed the connection.
    pub async fn receive(&mut self) -> io::Result<Option<BytesMut>> {
        self.0.next().await.transpose()
    }
}
