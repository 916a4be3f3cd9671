//! Lists of objects in pages, as the platform's store returns them.

use bytes::Bytes;
use http::Response;
use net::web::{WebResponse, full_body};

/// Largest number of objects on a page.
pub const PAGE_ITEMS: usize = 500;
/// Size of the objects from which on a page is full.
pub const PAGE_BYTES: usize = 1_000_000;
/// Stands for a byte that is not UTF-8 in the text of an object.
pub const UNREADABLE: char = '\u{f8ff}';

/// Page of the objects after a name; these come with their names and in their order.
pub fn list_page(
    objects: impl IntoIterator<Item = (String, String)>,
    after: Option<&str>,
    revision: u64,
) -> String {
    let rest = objects.into_iter();
    let mut rest = rest.skip_while(|(name, _)| after.is_some_and(|after| name.as_str() <= after));
    let (mut items, mut size) = (Vec::new(), 0);
    while items.len() < PAGE_ITEMS && size < PAGE_BYTES {
        let Some((_, object)) = rest.next() else {
            break;
        };
        size += object.len();
        items.push(object);
    }
    let has_more = rest.next().is_some();
    let items = items.join(",");
    format!(r#"{{"items":[{items}],"hasMore":{has_more},"storeRevision":{revision}}}"#)
}

/// Response with the objects in a text; [`UNREADABLE`] becomes a byte that is not UTF-8.
pub fn objects_response(text: &str) -> WebResponse {
    let mut body = Vec::with_capacity(text.len());
    for (index, part) in text.split(UNREADABLE).enumerate() {
        if index > 0 {
            body.push(0xff);
        }
        body.extend_from_slice(part.as_bytes());
    }
    Response::new(full_body(Bytes::from(body)))
}
