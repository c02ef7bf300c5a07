//! Follows HTTP/1 messages from their bytes alone: how much of an outgoing one was written, and where incoming
//! ones end. Parses them only as far as that needs. No I/O.

use std::io::IoSlice;

use stagepond::host::Tenths;

/// The bytes that end the head of an HTTP/1 message.
const HEAD_TERMINATOR: &[u8; 4] = b"\r\n\r\n";
/// Longest head of a message, and the size limit of a connection's read buffer. Usual heads are far shorter.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADER_FIELDS: usize = 100;

/// How much of the current outgoing message the operating system has taken.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WriteProgress {
    /// Whether a byte was written.
    is_begun: bool,
    /// Number of bytes of [`HEAD_TERMINATOR`] matched so far.
    terminator_matched: usize,
    body_bytes_left: usize,
}

impl WriteProgress {
    /// Nothing of a message whose body has this many bytes.
    pub(crate) fn of_message(body_bytes: usize) -> WriteProgress {
        WriteProgress { is_begun: false, terminator_matched: 0, body_bytes_left: body_bytes }
    }

    pub(crate) fn on_written(&mut self, bytes: &[u8]) {
        self.is_begun |= !bytes.is_empty();
        let mut at = 0;
        while at < bytes.len() && self.terminator_matched < HEAD_TERMINATOR.len() {
            let matches = bytes[at] == HEAD_TERMINATOR[self.terminator_matched];
            self.terminator_matched =
                if matches { self.terminator_matched + 1 } else { usize::from(bytes[at] == b'\r') };
            at += 1;
        }
        self.body_bytes_left = self.body_bytes_left.saturating_sub(bytes.len() - at);
    }

    /// The operating system has taken the first `len` bytes of these slices.
    pub(crate) fn on_written_vectored(&mut self, slices: &[IoSlice<'_>], len: usize) {
        let mut left = len;
        for slice in slices {
            let written = slice.len().min(left);
            self.on_written(&slice[..written]);
            left -= written;
        }
    }

    /// Whether a byte was written.
    pub(crate) fn is_begun(&self) -> bool {
        self.is_begun
    }

    /// Whether the last byte was written.
    pub(crate) fn is_complete(&self) -> bool {
        self.terminator_matched == HEAD_TERMINATOR.len() && self.body_bytes_left == 0
    }
}

/// Which part of an incoming message the next byte belongs to.
#[derive(Debug)]
enum ReadState {
    /// The head; holds the bytes of it received so far.
    Head(Vec<u8>),
    /// The body; holds the number of bytes still to come.
    Body(u64),
    /// The head does not give the length of the body, so only the HTTP library knows where the message ends.
    UnknownLength,
}

/// Follows incoming HTTP requests from the bytes received, and counts the fields that give the body length.
///
/// If a head gives two lengths, hyper drops one of them before a handler sees it, and a pod that goes by the
/// other would find a second message in the body (request smuggling). So the fields are counted in the bytes
/// themselves.
#[derive(Debug)]
pub(crate) struct IncomingMessages {
    state: ReadState,
    /// When the first byte of the message in progress was received.
    begun_at: Option<Tenths>,
    /// Number of fields in the last head that give the length of the body.
    length_fields: usize,
    /// Number of messages received in full.
    completed: u64,
}

impl Default for IncomingMessages {
    fn default() -> IncomingMessages {
        IncomingMessages {
            state: ReadState::Head(Vec::new()),
            begun_at: None,
            length_fields: 0,
            completed: 0,
        }
    }
}

impl IncomingMessages {
    /// These bytes were received at this time.
    pub(crate) fn on_received(&mut self, mut bytes: &[u8], at: Tenths) {
        while !bytes.is_empty() {
            let begun_at = self.begun_at.get_or_insert(at);
            match &mut self.state {
                ReadState::Head(received) => {
                    let before = received.len();
                    let room = MAX_HEAD_BYTES.saturating_sub(before);
                    received.extend_from_slice(&bytes[..bytes.len().min(room)]);
                    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
                    let mut head = httparse::Request::new(&mut fields);
                    let (end, next) = match head.parse(received) {
                        Ok(httparse::Status::Complete(end)) => {
                            (end, body_state(head.headers, &mut self.length_fields))
                        }
                        Ok(httparse::Status::Partial) if received.len() < MAX_HEAD_BYTES => return,
                        // Not an HTTP head, or too long: hyper rejects the message.
                        _ => (received.len(), ReadState::UnknownLength),
                    };
                    bytes = &bytes[end.saturating_sub(before).min(bytes.len())..];
                    self.state = next;
                    // Without a body the next message begins with the next byte.
                    if let ReadState::Body(0) = self.state {
                        self.expect_next_message();
                    }
                }
                ReadState::Body(left) => {
                    let in_body = (*left).min(bytes.len() as u64);
                    *left -= in_body;
                    bytes = &bytes[in_body as usize..];
                    if *left == 0 {
                        self.expect_next_message();
                    }
                }
                ReadState::UnknownLength => {
                    *begun_at = (*begun_at).min(at);
                    return;
                }
            }
        }
    }

    /// Whether the last head gives the length of its body more than once.
    pub(crate) fn has_ambiguous_length(&self) -> bool {
        self.length_fields > 1
    }

    /// When the first byte of the message in progress was received; `None` between two messages.
    pub(crate) fn begun_at(&self) -> Option<Tenths> {
        self.begun_at
    }

    /// Number of messages received in full.
    pub(crate) fn completed(&self) -> u64 {
        self.completed
    }

    fn expect_next_message(&mut self) {
        self.state = ReadState::Head(Vec::new());
        self.begun_at = None;
        self.completed += 1;
    }
}

/// How the body that follows a head is delimited. Sets `length_fields` to the number of fields that say so.
fn body_state(fields: &[httparse::Header], length_fields: &mut usize) -> ReadState {
    let named = |name: &'static str| fields.iter().filter(move |f| f.name.eq_ignore_ascii_case(name));
    *length_fields = named("content-length").count() + named("transfer-encoding").count();
    if *length_fields == 0 {
        return ReadState::Body(0);
    }
    let single = named("content-length").next().filter(|_| *length_fields == 1);
    let text = single.and_then(|field| std::str::from_utf8(field.value).ok());
    text.and_then(|text| text.trim().parse().ok()).map_or(ReadState::UnknownLength, ReadState::Body)
}
