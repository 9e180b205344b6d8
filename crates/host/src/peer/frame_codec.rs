//! Frames of the RPC service between hosts, for untrusted clients: memory is allocated for what has
//! arrived, not for what a frame announces.
//!
//! The form is that of tokio-util's length-delimited codec: the length in four bytes, big-endian,
//! and then the message. That codec reserves the announced length at once.

use std::io;
use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tarpc::tokio_util::codec::{Decoder, Encoder};

use crate::clock::now_ms;
use crate::peer::OpenPeer;

/// Maximum size of a peer's message, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Length of the field that holds a frame's length, in bytes.
const LENGTH_BYTES: usize = 4;

/// Least number of bytes by which the memory of a frame in receipt grows.
const MIN_GROWTH_BYTES: usize = 8 * 1024;

/// A frame of which not all has arrived.
#[derive(Debug)]
struct PartialFrame {
    length: usize,
    bytes: Vec<u8>,
}

/// Decodes the frames of one connection.
#[derive(Debug)]
pub struct FrameCodec {
    peer: Arc<OpenPeer>,
    partial: Option<PartialFrame>,
}

impl FrameCodec {
    /// Creates the codec of a connection, which accounts for the memory of its frames.
    #[must_use]
    pub fn new(peer: Arc<OpenPeer>) -> Self {
        Self {
            peer,
            partial: None,
        }
    }

    /// Moves bytes of the frame in receipt from `source`. Its memory doubles as the bytes arrive,
    /// and never exceeds the frame's length.
    fn receive(&self, partial: &mut PartialFrame, source: &mut BytesMut) -> io::Result<()> {
        let arrived = (partial.length - partial.bytes.len()).min(source.len());
        let needed = partial.bytes.len() + arrived;
        if needed > partial.bytes.capacity() {
            let doubled = (2 * partial.bytes.capacity()).max(MIN_GROWTH_BYTES);
            let capacity = needed.max(doubled).min(partial.length);
            if !self.peer.hold(capacity, now_ms()) {
                return Err(io::Error::other("no memory for the frame"));
            }
            partial.bytes.reserve_exact(capacity - partial.bytes.len());
        }
        partial.bytes.extend_from_slice(&source[..arrived]);
        source.advance(arrived);
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let mut partial = if let Some(partial) = self.partial.take() {
            partial
        } else {
            let Some(mut field) = source.get(..LENGTH_BYTES) else {
                return Ok(None);
            };
            let length = field.get_u32() as usize;
            if length > MAX_FRAME_BYTES {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "the frame is too long",
                ));
            }
            source.advance(LENGTH_BYTES);
            if source.len() >= length {
                self.peer.record_frame(now_ms());
                return Ok(Some(source.split_to(length)));
            }
            PartialFrame {
                length,
                bytes: Vec::new(),
            }
        };
        self.receive(&mut partial, source)?;
        if partial.bytes.len() < partial.length {
            self.partial = Some(partial);
            return Ok(None);
        }
        self.peer.record_frame(now_ms());
        Ok(Some(Bytes::from(partial.bytes).into()))
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, message: Bytes, target: &mut BytesMut) -> io::Result<()> {
        let length = u32::try_from(message.len())
            .ok()
            .filter(|_| message.len() <= MAX_FRAME_BYTES);
        let Some(length) = length else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "the message is too long",
            ));
        };
        target.reserve(LENGTH_BYTES + message.len());
        target.put_u32(length);
        target.extend_from_slice(&message);
        Ok(())
    }
}
