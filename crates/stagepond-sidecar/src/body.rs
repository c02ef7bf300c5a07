//! Reads the body of an HTTP message into one buffer whose size follows the length of the body, not the number
//! of pieces that it arrives in.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Size of the first buffer of a body whose length is not known, in bytes.
const FIRST_BUFFER_BYTES: usize = 1 << 10;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// It ended early or was malformed.
    #[error("the body could not be read in full")]
    Incomplete,
}

/// Number of bytes to reserve for a body: its length or, if that is not known, the longest.
///
/// # Errors
///
/// [`BodyError::TooLong`] if it is known to be longer than `max_bytes`.
pub fn bytes_to_reserve(body: &impl Body, max_bytes: usize) -> Result<usize, BodyError> {
    let length = body.size_hint().exact();
    match length.map_or(max_bytes, |length| usize::try_from(length).unwrap_or(usize::MAX)) {
        length if length > max_bytes => Err(BodyError::TooLong),
        length => Ok(length),
    }
}

/// Reads a whole body of at most `max_bytes` into a buffer of its own. The pieces are copied: each of them may
/// keep the much larger buffer alive that it was received in. Trailers are dropped.
///
/// # Errors
///
/// [`BodyError::TooLong`] as soon as more has come, [`BodyError::Incomplete`] if the body ends early.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Vec<u8>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let length = bytes_to_reserve(&body, max_bytes)?;
    let is_known = body.size_hint().exact().is_some();
    let mut buffer = Vec::with_capacity(if is_known { length } else { FIRST_BUFFER_BYTES.min(max_bytes) });
    let mut body = body;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Some(data) = frame.data_ref() else { continue };
        if data.len() > max_bytes - buffer.len() {
            return Err(BodyError::TooLong);
        }
        buffer.extend_from_slice(data);
    }
    buffer.shrink_to_fit();
    Ok(buffer)
}

/// Reads a body to its end and drops it, so that its connection can be used on.
///
/// # Errors
///
/// As [`read_body`].
pub async fn discard_body<B>(body: B, max_bytes: usize) -> Result<(), BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let (mut body, mut received) = (body, 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        received += frame.data_ref().map_or(0, Bytes::len);
        if received > max_bytes {
            return Err(BodyError::TooLong);
        }
    }
    Ok(())
}
