//! Bodies with bytes that are not UTF-8.

use net::web::BodyText;

/// Bodies and their texts.
const BODIES: [(&[u8], &str); 8] = [
    (b"", ""),
    (b"plain \xc3\xa9", "plain \u{e9}"),
    (b"\xff", "\u{fffd}"),
    (b"a\xffb", "a\u{fffd}b"),
    (b"a\xff\xfe\xfdb\xc3", "a\u{fffd}b\u{fffd}"),
    (
        b"\xf0\x9f\x92|\xf0\x9f\x92\xbe|\x80\x80",
        "\u{fffd}|\u{1f4be}|\u{fffd}",
    ),
    (b"\xed\xa0\x80,\xef\xbf\xbd", "\u{fffd},\u{fffd}"),
    (b"\xc3\xa9\xc3\xc3\xa9", "\u{e9}\u{fffd}\u{e9}"),
];

#[test]
fn bytes_that_are_not_utf8_are_replaced_and_remain_known() {
    for (bytes, expected) in BODIES {
        let text = BodyText::new(bytes);
        assert_eq!(text.as_str(), expected);
        assert_eq!(text.bytes_of(text.as_str()), bytes);
        let is_utf8 = std::str::from_utf8(bytes).is_ok();
        assert_eq!(text.has_replacements(text.as_str()), !is_utf8, "{expected}");
    }
}

#[test]
fn each_part_has_its_own_bytes() {
    let parts: [&[u8]; 6] = [b"a", b"\xff\xff", b"\xc3\xa9", b"", b"\xe2\x82", b"z"];
    let body = parts.join(&b"|"[..]);
    let text = BodyText::new(&body);
    let split: Vec<_> = text.as_str().split('|').collect();
    assert_eq!(split, ["a", "\u{fffd}", "\u{e9}", "", "\u{fffd}", "z"]);
    for (part, bytes) in split.iter().zip(parts) {
        assert_eq!(text.bytes_of(part), bytes);
        let is_replaced = std::str::from_utf8(bytes).is_err();
        assert_eq!(text.has_replacements(part), is_replaced, "{part}");
    }
}
