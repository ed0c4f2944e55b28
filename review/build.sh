#!/bin/bash
# Builds the stand-ins of the review's scripts into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in review/standin/*.cpp; do
    object=target/review/$(basename "$source" .cpp).o
    objects+=("$object")
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -pthread -c -o "$object" "$source" &
done
for job in $(jobs -p); do
    wait "$job"
done
g++ -pthread -o target/review/standin "${objects[@]}"
