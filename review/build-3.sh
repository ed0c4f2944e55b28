#!/bin/bash
# Builds the stand-ins of the third review's scripts into target/review-3. Needs the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. -pthread -o "target/review-3/case-$number" "$source"
done
