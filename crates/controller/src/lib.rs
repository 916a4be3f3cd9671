//! Owns fabric domains, orders hosts into groups and writes status.
