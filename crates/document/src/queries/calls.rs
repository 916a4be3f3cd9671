//! Which calls may not be repeated.

use base::prelude::*;

use crate::{Configuration, MethodPath, ServiceKind};

impl Configuration {
    /// Whether a call to a plain service may not be repeated.
    pub fn is_non_idempotent(&self, service: &ServiceName, method: &str, path: &str) -> bool {
        let Some(ServiceKind::Plain(plain)) = self.services.get(service).map(|spec| &spec.kind)
        else {
            return false;
        };
        plain
            .non_idempotent
            .iter()
            .any(|call| covers(call, method, path))
    }
}

/// A method or path that a server may read in two ways counts as covered.
fn covers(call: &MethodPath, method: &str, path: &str) -> bool {
    call.method.eq_ignore_ascii_case(method)
        && (path.starts_with(call.path.as_ref()) || is_ambiguous(path))
}

fn is_ambiguous(path: &str) -> bool {
    let path = path.split('?').next().unwrap_or(path);
    path.contains("//") || path.contains("/.") || path.contains(['%', ';', '\\'])
}
