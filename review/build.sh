#!/usr/bin/env bash
# Builds the stand-ins of the cases, without a network. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet --manifest-path review/standin/Cargo.toml --target-dir target/review
