#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. They use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2024 -o target/review/standin review/standin/main.rs
