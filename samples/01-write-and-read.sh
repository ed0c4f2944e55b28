#!/usr/bin/env bash
# Writes a value and reads it back in the same session.
. "$(dirname "$0")/common.sh"
call POST "$DAEMON_1/v1/databases/shop-1/statements" -d '{"kind": "write", "statement": "put mango 12"}'
call POST "$DAEMON_1/v1/databases/shop-1/statements" -d '{"statement": "get mango"}'
