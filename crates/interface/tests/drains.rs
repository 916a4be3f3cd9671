//! List of draining hosts with entries that another writer has left.

use base::HostName;
use interface::DrainList;

#[test]
fn an_odd_name_among_the_draining_hosts_hides_no_other() {
    for odd in [r#""backup of 12 May""#, r#""""#, "7", "null", "{}"] {
        let value = format!(r#"{{"hosts":["h-1",{odd},"h-3"]}}"#);
        let drains = DrainList::decode(&value).unwrap();
        let names: Vec<_> = drains.hosts.iter().map(HostName::as_str).collect();
        assert_eq!(names, ["h-1", "h-3"], "{odd}");
    }
}
