#!/usr/bin/env bash
# Scores each site of the regression with the users' bench and prints gate, score, worth by day and the change since the
# last run of this script. The users' kit is not part of this repository, so its folder is named.
# usage: scripts/regression.sh BENCH SITES_FOLDER WHY [JOBS]
#   BENCH         the bench program
#   SITES_FOLDER  the folder with further/, further-grown/, grown/ and large/
#   WHY           reason of the run, for the journal
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 3 ]; then
  sed -n 's/^# //p' "$0" >&2
  exit 2
fi
bench=$1
sites=$2
why=$3
jobs=${4:-3}
files=(further/qpvsa-gasket further-grown/qpvsa-gasket-grown grown/namkhaeng-host-grown grown/npp-ops-grown
  large/namkhaeng-host-large)
cache="${XDG_CACHE_HOME:-$HOME/.cache}/endivetrestle-regression"
mkdir -p "$cache"
status=0
for file in "${files[@]}"; do
  name=$(basename "$file")
  output=$("$bench" score "$sites/$file.toml" --jobs "$jobs" --why "$why" 2>&1) || status=1
  score=$(sed -n 's/^score on the standard days of [^:]*: \([0-9.]*\).*/\1/p' <<<"$output")
  gate=$(grep -oE 'GATE (passed|failed)' <<<"$output" || echo 'no result')
  [ "$gate" = 'GATE passed' ] || status=1
  last=$(cat "$cache/$name" 2>/dev/null || echo "")
  days=$(awk '$2 ~ /^[0-9]+\/[0-9]+$/ && $4 ~ /^-?[0-9.]+$/ { printf " %s=%s", $1, $4 }' <<<"$output")
  printf '%-24s %-12s score %s (last %s)%s\n' "$name" "$gate" "${score:--}" "${last:--}" "$days"
  grep -E 'BROKEN|short of the gate' <<<"$output" || true
  [ -z "$score" ] || echo "$score" >"$cache/$name"
done
exit $status
