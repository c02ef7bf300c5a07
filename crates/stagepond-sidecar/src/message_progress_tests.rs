//! Tests of the progress of messages, with their bytes split in every way.

use std::io::IoSlice;

use rstest::rstest;
use stagepond::host::Tenths;

use crate::message_progress::{IncomingMessages, WriteProgress};

/// A connection that breaks before the last byte of a message proves that it never ran. So the message
/// must not count as written a byte too early, however the bytes are split.
#[rstest]
#[case::without_a_body("GET / HTTP/1.1\r\nhost: a\r\n\r\n", 0)]
#[case::with_a_body("POST / HTTP/1.1\r\ncontent-length: 6\r\n\r\n\r\n\r\nab", 6)]
fn a_message_is_complete_only_with_its_last_byte(#[case] message: &str, #[case] body: usize) {
    for cut in 0..=message.len() {
        let mut progress = WriteProgress::of_message(body);
        progress.on_written(&message.as_bytes()[..cut]);
        assert_eq!(progress.is_complete(), cut == message.len(), "split at {cut}");
        progress.on_written(&message.as_bytes()[cut..]);
        assert!(progress.is_complete());
        // One write may take a part of several slices.
        for len in 0..=message.len() {
            let (first, second) = message.as_bytes().split_at(cut);
            let mut progress = WriteProgress::of_message(body);
            progress.on_written_vectored(&[IoSlice::new(first), IoSlice::new(second)], len);
            assert_eq!(progress.is_complete(), len == message.len(), "split at {cut}, {len} written");
        }
    }
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

#[rstest]
#[case::none("", "", false)]
#[case::one_length("Content-Length: 3\r\n", "abc", false)]
#[case::length_then_chunks(&format!("Content-Length: 3\r\n{CHUNKED}"), "", true)]
#[case::chunks_then_length(&format!("{CHUNKED}content-LENGTH:3\r\n"), "", true)]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 3\r\n", "", true)]
#[case::two_encodings(&format!("{CHUNKED}{CHUNKED}"), "", true)]
fn a_second_length_is_found_however_the_bytes_are_split(
    #[case] lengths: &str, #[case] body: &str, #[case] ambiguous: bool,
) {
    let one = format!("POST /a HTTP/1.1\r\nHost: a\r\n{lengths}\r\n{body}");
    let both = format!("GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n{one}");
    for cut in 0..=both.len() {
        let mut incoming = IncomingMessages::default();
        incoming.on_received(&both.as_bytes()[..cut], Tenths(1));
        incoming.on_received(&both.as_bytes()[cut..], Tenths(2));
        assert_eq!(incoming.has_ambiguous_length(), ambiguous, "split at {cut}");
        assert_eq!(incoming.begun_at().is_some(), ambiguous, "split at {cut}");
    }
}
