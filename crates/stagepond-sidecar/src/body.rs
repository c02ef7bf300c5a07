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

/// Reads a whole body of at most `max_bytes`. The pieces are copied: each of them may keep the much larger
/// buffer alive that it was received in. Trailers are dropped.
///
/// # Errors
///
/// [`BodyError::TooLong`] as soon as more has come, [`BodyError::Incomplete`] if the body ends early.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut body = body;
    let expected = body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if expected.is_some_and(|length| length > max_bytes) {
        return Err(BodyError::TooLong);
    }
    let mut buffer = Vec::with_capacity(expected.unwrap_or(FIRST_BUFFER_BYTES.min(max_bytes)));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Some(data) = frame.data_ref() else { continue };
        if data.len() > max_bytes - buffer.len() {
            return Err(BodyError::TooLong);
        }
        buffer.extend_from_slice(data);
    }
    Ok(buffer.into())
}
