//! Body of a response, which tells the connection when it was handed to the write buffer.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::http::connection_state::ConnectionState;

/// A body in one piece.
pub(super) struct ResponseBody {
    data: Option<Bytes>,
    state: Arc<ConnectionState>,
}

impl ResponseBody {
    /// Creates a body and begins the response.
    pub fn new(data: Bytes, state: Arc<ConnectionState>) -> Self {
        state.begin_response(data.len());
        let data = Some(data).filter(|data| !data.is_empty());
        Self { data, state }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.len() as u64))
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.state.end_response();
    }
}
