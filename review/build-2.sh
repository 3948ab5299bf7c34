#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs the Rust compiler only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins-2 review/standins-2/main.rs
