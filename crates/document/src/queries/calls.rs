//! Calls that must not be executed twice.

use base::prelude::*;

use crate::{Configuration, MethodPath, ServiceKind};

impl Configuration {
    /// Whether a call to a plain service is non-idempotent, so that it must not be
    /// executed twice.
    ///
    /// False for other kinds of services and for unknown ones.
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

/// Whether an entry matches a call.
///
/// The method is compared without regard to case, and a path that a server could
/// normalize to another one counts as matching, so that no spelling of a listed
/// call avoids the rule.
fn covers(call: &MethodPath, method: &str, path: &str) -> bool {
    call.method.eq_ignore_ascii_case(method)
        && (path.starts_with(call.path.as_ref()) || is_ambiguous(path))
}

fn is_ambiguous(path: &str) -> bool {
    let path = path.split('?').next().unwrap_or(path);
    path.contains("//") || path.contains("/.") || path.contains(['%', ';', '\\'])
}
