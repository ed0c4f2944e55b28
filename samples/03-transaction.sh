#!/usr/bin/env bash
# Runs two statements in one transaction and commits it through the other daemon.
. "$(dirname "$0")/common.sh"
begun=$(call POST "$DAEMON_1/v1/databases/shop-1/transactions" -d '{}')
echo "$begun"
transaction=$(sed -n 's/.*"transaction":"\([^"]*\)".*/\1/p' <<< "$begun")
call POST "$DAEMON_1/v1/transactions/$transaction/statements" -d '{"statement": "put order-1 mango"}'
call POST "$DAEMON_1/v1/transactions/$transaction/statements" -d '{"statement": "add stock-mango -1"}'
call POST "$DAEMON_2/v1/transactions/$transaction/commit" -d '{}'
call POST "$DAEMON_1/v1/databases/shop-1/statements" -d '{"statement": "get order-1"}'
