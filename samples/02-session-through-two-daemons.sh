#!/usr/bin/env bash
# Writes through one daemon and reads through the other; the session token carries what must be visible.
. "$(dirname "$0")/common.sh"
call POST "$DAEMON_1/v1/databases/shop-1/statements" -d '{"kind": "write", "statement": "add cups 1"}'
echo "session token: $SESSION"
call POST "$DAEMON_2/v1/databases/shop-1/statements" -d '{"statement": "get cups"}'
# A read that accepts data of an age of 1 s, without a session.
SESSION=
call POST "$DAEMON_2/v1/databases/shop-1/statements" -d '{"statement": "get cups", "priority": "glance", "maxAgeMs": 1000}'
