# Sourced by the samples. The variables are those that "endivetrestle demo" prints as export lines.
set -euo pipefail
: "${DAEMON_1:?paste the export lines of endivetrestle demo first}" "${DAEMON_2:?}" "${CALLER_KEY:?}"

# call METHOD URL [CURL OPTIONS]: prints the body and keeps the session token that came with it in SESSION.
SESSION=${SESSION:-}
call() {
  local method=$1 url=$2
  shift 2
  local headers
  headers=$(mktemp)
  curl -sS -X "$method" -D "$headers" -H "Authorization: Bearer $CALLER_KEY" \
    ${SESSION:+-H "Endivetrestle-Session: $SESSION"} "$@" "http://$url"
  echo
  local token
  token=$(tr -d '\r' < "$headers" | sed -n 's/^Endivetrestle-Session: //p')
  rm -f "$headers"
  SESSION=${token:-$SESSION}
}
