#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library alone, so this needs no package and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/standin review/standin/main.rs
