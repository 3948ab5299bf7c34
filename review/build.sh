#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs the Rust compiler only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
