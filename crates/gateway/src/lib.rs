//! Answers callers: authentication, admission, routing and streaming.
