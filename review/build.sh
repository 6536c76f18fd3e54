#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/ start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
