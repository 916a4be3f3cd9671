//! Measurement commands: policies, overload, ledger and capacity slopes.
