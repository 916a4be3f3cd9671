//! Digests that a newer one replaces before they are sent.

use edge::{Digest, EdgeEvent, PeerMessage};

use crate::support::digest;
use base::prelude::*;

fn digest_with(silent_heads: &[&str], is_cut_off: bool) -> Digest {
    let EdgeEvent::Peer(PeerMessage::Digest(digest)) = digest("n1", true, 1) else {
        panic!("no digest");
    };
    let heads = silent_heads.iter();
    Digest {
        silent_heads: heads.map(|head| HostName::new(head).unwrap()).collect(),
        is_cut_off,
        ..*digest
    }
}

#[test]
fn a_digest_keeps_the_silent_heads_of_the_one_that_it_replaces() {
    let older = digest_with(&["e-1", "e-2"], false);
    let mut newer = digest_with(&["e-2", "e-3"], false);
    newer.add_reports(&older);
    assert_eq!(newer, digest_with(&["e-2", "e-3", "e-1"], false));
}

#[test]
fn reports_of_the_time_in_which_a_node_was_cut_off_are_not_kept() {
    let older = digest_with(&["e-1", "e-2"], true);
    let mut newer = digest_with(&["e-3"], false);
    newer.add_reports(&older);
    assert_eq!(newer, digest_with(&["e-3"], false));
}
