#!/usr/bin/env bash
# Chooses its own request id, gives up after a short deadline and asks for the outcome by the id. Sending the write
# again with the same id is safe too: it runs once.
. "$(dirname "$0")/common.sh"
id="payment-$(date +%s)-$$"
write='{"kind": "write", "priority": "payment", "statement": "add paid 25", "deadlineMs": 2}'
call POST "$DAEMON_1/v1/databases/shop-1/statements" -H "Endivetrestle-Request-Id: $id" -d "$write"
# "completed", or the error "request_aborted" with the outcome "did_not_run".
call GET "$DAEMON_2/v1/databases/shop-1/requests/$id"
call POST "$DAEMON_2/v1/databases/shop-1/statements" -d '{"statement": "get paid"}'
