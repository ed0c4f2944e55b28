#!/usr/bin/env bash
# Makes a plan from an intent (samples/intents/set-read-age.json by default) and confirms it twice.
. "$(dirname "$0")/common.sh"
: "${OPERATORS_1:?}" "${OPERATORS_2:?}" "${OPERATOR_KEY:?}"
intent=${1:-$(dirname "$0")/intents/set-read-age.json}
operate() { curl -sS -H "Authorization: Bearer $OPERATOR_KEY" "$@"; echo; }
plan=$(operate -d "@$intent" "http://$OPERATORS_1/admin/v1/plans")
echo "$plan"
id=$(sed -n 's/.*"plan":"\([^"]*\)".*/\1/p' <<< "$plan")
[ -n "$id" ] || exit 4
operate -X POST "http://$OPERATORS_1/admin/v1/plans/$id/confirm"
# A second confirmation changes nothing: "already_accepted".
operate -X POST "http://$OPERATORS_2/admin/v1/plans/$id/confirm"
operate "http://$OPERATORS_1/admin/v1/explain?kind=configuration&limit=3"
