//! Length-delimited frames between processes of the system.

use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use monoio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::paced::{PacedStream, ReadMeter};

/// Maximum length of a frame; receiving a longer one is an error.
pub const MAX_FRAME_BYTES: usize = 2_000_000;

/// Bytes received without a complete frame that fail a connection: a frame and its length.
const MAX_PENDING_BYTES: usize = MAX_FRAME_BYTES + 64 * 1_024;

/// TCP connection that carries frames.
pub struct FrameStream {
    frames: Framed<PacedStream, LengthDelimitedCodec>,
    meter: ReadMeter,
}

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
        let meter = ReadMeter::new(MAX_PENDING_BYTES);
        let stream = PacedStream::new(stream, meter.clone())?;
        Ok(Self {
            frames: Framed::new(stream, codec),
            meter,
        })
    }

    /// Sends one frame.
    pub async fn send(&mut self, frame: Bytes) -> io::Result<()> {
        self.frames.send(frame).await
    }

    /// Receives one frame; `None` once the peer has closed the connection.
    pub async fn receive(&mut self) -> io::Result<Option<BytesMut>> {
        let frame = self.frames.next().await.transpose()?;
        self.meter.record_progress();
        Ok(frame)
    }
}
