//! Client of the platform: object API and list of hosts.
