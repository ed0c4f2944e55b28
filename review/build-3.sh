#!/bin/bash
# Builds the stand-ins of the third review's scripts into target/review-3. Needs the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
build() {
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. -pthread -o "target/review-3/$1" "$2"
}
for number in 11 12 13 14 15; do
    build "case-$number" "review/$number/case.cc"
done
for trial in prepared-names memory replica-without-its-log failed-set; do
    build "$trial" "review/trials-3/$trial/case.cc"
done
