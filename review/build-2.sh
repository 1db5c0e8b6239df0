#!/bin/sh
# Builds the stand-ins of the second review with the compiler alone: they use no library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standin-2/main.rs
