//! A streamed body that finds no memory is aborted. The only test of its process, as it takes the
//! memory of all buffers.

use bytes::Bytes;
use http_body_util::BodyExt;
use net::HeldBytes;
use net::web::body_channel;

#[test]
fn a_stream_that_finds_no_memory_does_not_look_complete() {
    // Guards against a client that takes a part of an answer for the whole one.
    let mut held = HeldBytes::default();
    while held.try_resize(held.bytes() + 64 * 1_024) {}
    let read = net::block_on(async {
        let (mut sender, mut body) = body_channel();
        let sent = sender.send(Bytes::from(vec![b'a'; 64 * 1_024])).await;
        assert!(sent.is_err(), "all buffers are full");
        drop(sender);
        let mut length = 0;
        loop {
            match body.frame().await {
                Some(Ok(frame)) => length += frame.into_data().map_or(0, |bytes| bytes.len()),
                Some(Err(_)) => return (length, false),
                None => return (length, true),
            }
        }
    });
    let (length, looks_complete) = read.unwrap();
    assert!(!looks_complete, "{length} bytes look complete");
    assert!(length > 0, "a little is buffered in any case");
}
