//! Encoded messages; the numbers of the tags must not change.

use prost::{Message, Oneof};

#[derive(Clone, PartialEq, Message)]
pub struct FrameWire {
    #[prost(fixed64, tag = "1")]
    pub cluster: u64,
    #[prost(string, tag = "2")]
    pub from: String,
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    #[prost(oneof = "MessageWire", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub message: Option<MessageWire>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum MessageWire {
    #[prost(message, tag = "4")]
    Join(RecordWire),
    #[prost(message, tag = "5")]
    Nodes(RecordsWire),
    #[prost(message, tag = "6")]
    Heartbeat(SummaryWire),
    #[prost(message, tag = "7")]
    Buckets(BucketsWire),
    #[prost(message, tag = "8")]
    Announce(EntriesWire),
    #[prost(message, tag = "9")]
    Confirm(KeysWire),
    #[prost(message, tag = "10")]
    Fetch(KeysWire),
    #[prost(message, tag = "11")]
    Items(ItemsWire),
    #[prost(fixed64, tag = "12")]
    Ask(u64),
    #[prost(message, tag = "13")]
    Answer(ReportsWire),
    #[prost(message, tag = "14")]
    Alert(ReportsWire),
}

#[derive(Clone, PartialEq, Message)]
pub struct RecordWire {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(string, tag = "2")]
    pub region: String,
    #[prost(string, tag = "3")]
    pub domain: String,
    #[prost(bytes = "vec", tag = "4")]
    pub ip: Vec<u8>,
    #[prost(uint32, tag = "5")]
    pub port: u32,
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    #[prost(uint32, tag = "7")]
    pub refutations: u32,
    #[prost(uint32, tag = "8")]
    pub phase: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct RecordsWire {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<RecordWire>,
}

#[derive(Clone, PartialEq, Message)]
pub struct SummaryWire {
    #[prost(fixed64, tag = "1")]
    pub items: u64,
    #[prost(fixed64, tag = "2")]
    pub nodes: u64,
    #[prost(bool, tag = "3")]
    pub is_ready: bool,
    #[prost(bool, tag = "4")]
    pub is_link: bool,
    /// Versions that the sender knows to be proven; earlier builds ignore them.
    #[prost(message, repeated, tag = "5")]
    pub known: Vec<EntryWire>,
}

#[derive(Clone, PartialEq, Message)]
pub struct BucketsWire {
    #[prost(fixed64, repeated, tag = "1")]
    pub items: Vec<u64>,
    #[prost(fixed64, repeated, tag = "2")]
    pub nodes: Vec<u64>,
    #[prost(bool, tag = "3")]
    pub is_reply: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct KeyWire {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(string, tag = "2")]
    pub name: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct KeysWire {
    #[prost(message, repeated, tag = "1")]
    pub keys: Vec<KeyWire>,
}

#[derive(Clone, PartialEq, Message)]
pub struct EntryWire {
    #[prost(message, optional, tag = "1")]
    pub key: Option<KeyWire>,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
pub struct EntriesWire {
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<EntryWire>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ItemWire {
    #[prost(message, optional, tag = "1")]
    pub key: Option<KeyWire>,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(string, optional, tag = "3")]
    pub body: Option<String>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ItemsWire {
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<ItemWire>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ReportWire {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    #[prost(uint32, tag = "4")]
    pub running: u32,
    #[prost(uint32, tag = "5")]
    pub waiting: u32,
    #[prost(uint64, tag = "6")]
    pub age_micros: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct ReportsWire {
    #[prost(fixed64, tag = "1")]
    pub question: u64,
    #[prost(message, repeated, tag = "2")]
    pub reports: Vec<ReportWire>,
}
