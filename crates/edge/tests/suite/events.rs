//! Tests of splitting streams into events.

use edge::border::events::EventBuffer;

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

#[test]
fn only_complete_events_are_passed_on() {
    let mut buffer = EventBuffer::after(None);
    assert_eq!(text(&buffer.push(b"id: 1\ndata: a\n").unwrap()), "");
    assert_eq!(
        text(&buffer.push(b"\nid: 2\nda").unwrap()),
        "id: 1\ndata: a\n\n"
    );
    assert_eq!(buffer.last_id(), Some(1));
    assert_eq!(
        text(&buffer.push(b"ta: b\n\n").unwrap()),
        "id: 2\ndata: b\n\n"
    );
    assert_eq!(buffer.last_id(), Some(2));
}

#[test]
fn several_events_may_arrive_at_once() {
    let mut buffer = EventBuffer::after(None);
    let bytes = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    assert_eq!(
        text(&buffer.push(bytes).unwrap()),
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    );
    assert_eq!(buffer.last_id(), Some(2));
}

#[test]
fn another_server_resumes_after_the_last_complete_event() {
    let mut buffer = EventBuffer::after(None);
    buffer.push(b"id: 1\ndata: a\n\nid: 2\ndata: hal").unwrap();
    buffer.drop_partial();
    assert_eq!(buffer.last_id(), Some(1));
    let rest = buffer
        .push(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
        .unwrap();
    assert_eq!(text(&rest), "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

#[test]
fn events_that_the_client_has_received_are_skipped() {
    let mut buffer = EventBuffer::after(Some(2));
    let rest = buffer
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
        .unwrap();
    assert_eq!(text(&rest), "id: 3\ndata: c\n\n");
    assert_eq!(text(&buffer.push(b"id: 3\ndata: c\n\n").unwrap()), "");
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut buffer = EventBuffer::after(None);
    let bytes = b"id: 7\r\ndata: a\r\n\r\nid: 8\r\n";
    assert_eq!(
        text(&buffer.push(bytes).unwrap()),
        "id: 7\r\ndata: a\r\n\r\n"
    );
    assert_eq!(buffer.last_id(), Some(7));
}

#[test]
fn line_breaks_after_the_last_event_of_a_stream_are_passed_on() {
    let mut buffer = EventBuffer::after(None);
    buffer.push(b"data: a\n\n\n\r").unwrap();
    assert!(!buffer.is_within_event());
    assert_eq!(text(&buffer.take_rest()), "\r");
    assert_eq!(text(&buffer.take_rest()), "");
}

#[test]
fn a_stream_that_ends_inside_an_event_is_told_from_a_complete_one() {
    let cases = [
        ("", false),
        ("data: a\n\n", false),
        ("data: a\r\n\r\n", false),
        ("data: a\n\n\n", false),
        ("d", true),
        ("data: a\n", true),
        ("data: a\n\ndata: b", true),
        ("data: a\n\ndata: b\n", true),
    ];
    for (bytes, expected) in cases {
        let mut buffer = EventBuffer::after(None);
        buffer.push(bytes.as_bytes()).unwrap();
        assert_eq!(buffer.is_within_event(), expected, "{bytes:?}");
    }
}

#[test]
fn an_event_without_an_end_is_given_up() {
    // Guards against a node that keeps whatever a faulty server sends, until its memory is used up.
    let mut buffer = EventBuffer::after(None);
    let line = [b'a'; 1_024];
    let kept = (0..).take_while(|_| buffer.push(&line).is_ok()).count();
    assert!(kept <= 1_024, "{kept} kB were kept");
    buffer.drop_partial();
    let rest = buffer.push(b"id: 1\ndata: a\n\n").unwrap();
    assert_eq!(text(&rest), "id: 1\ndata: a\n\n");
}

#[test]
fn an_event_that_arrives_byte_by_byte_is_found() {
    let mut buffer = EventBuffer::after(None);
    let stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3";
    let events = stream.iter().filter_map(|&byte| {
        let event = buffer.push(&[byte]).unwrap();
        (!event.is_empty()).then(|| text(&event).to_owned())
    });
    let events: Vec<_> = events.collect();
    assert_eq!(events, ["id: 1\r\ndata: a\r\n\r\n", "id: 2\ndata: b\n\n"]);
    assert!(buffer.is_within_event());
}
