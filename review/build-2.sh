#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The build of the deploy file must have run before: the libraries
# in target/ hold the project's own stand-in of the store.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -DASIO_STANDALONE -DASIO_HAS_STD_CHRONO
  -DASIO_DISABLE_STD_STRING_VIEW -DBOOST_ALL_DYN_LINK -DFMT_SHARED -Isrc -I. -Ireview/standin-2)
g++ "${flags[@]}" review/standin-2/scene.cpp review/standin-2/case.cpp -o "$out/case" \
  target/libendivetrestle_edges.a target/libendivetrestle_decisions.a -lprometheus-cpp-core -lcrypto -lboost_log \
  -lboost_chrono -lboost_filesystem -lboost_regex -lboost_thread -lboost_atomic -lcapnp-rpc -lkj-http -lkj-async \
  -lcapnp -lkj -lfmt -lhttp_parser -lpthread
