//! Membership, configuration and load digests between nodes.
