//! Owner leases of fabric domains.

use base::prelude::*;
use groups::FabricRecord;
use serde::Serialize;

use crate::objects::read_fabrics;
use crate::output::{ListReport, ReportRow};
use crate::{CliError, CommandOutcome, Session};

/// Row of the list of leases.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseRow {
    fabric: FabricName,
    holder: Option<NodeName>,
    renewals: Option<u64>,
    token: FencingToken,
}

impl ReportRow for LeaseRow {
    const COLUMNS: &'static [&'static str] = &["fabric", "holder", "renewals", "token"];
    const EMPTY_TEXT: &'static str = "no fabric domain has a record";

    fn cells(&self) -> Vec<String> {
        let holder = self.holder.as_ref().map_or("-", NodeName::as_str);
        let renewals = self
            .renewals
            .map_or("-".to_owned(), |count| count.to_string());
        vec![
            self.fabric.to_string(),
            holder.to_owned(),
            renewals,
            self.token.to_string(),
        ]
    }
}

impl From<FabricRecord> for LeaseRow {
    fn from(record: FabricRecord) -> Self {
        Self {
            renewals: record.lease.as_ref().map(|lease| lease.renewals),
            holder: record.lease.map(|lease| lease.holder),
            fabric: record.fabric,
            token: record.token,
        }
    }
}

/// Lists the leases as last written; an expired lease is listed until another node takes over.
pub async fn list_leases(session: &Session) -> Result<CommandOutcome, CliError> {
    let records = read_fabrics(session).await?;
    let rows = records.into_iter().map(LeaseRow::from).collect();
    Ok(CommandOutcome::success(ListReport::new(rows)))
}
