#!/usr/bin/env bash
# Prints the control cost of idle daemons: CPU time of their threads, bytes on their sockets and resident memory, for
# several numbers of daemons and databases in one process. Threads of the stand-ins are left out of the CPU time.
# usage: scripts/measure-control-cost.sh [SECONDS] [DAEMONS:DATABASES ...]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
shift || true
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(2:1 2:4 2:16 4:4 8:4 16:4)

# User and system time of a process's threads in clock ticks, without the threads of one name.
cpu_ticks() {
  local total=0 task fields
  for task in /proc/"$1"/task/*; do
    [ "$(cat "$task/comm")" = standin ] && continue
    fields=$(sed 's/.*) //' "$task/stat")
    set -- "$1" $fields
    total=$((total + ${13} + ${14}))
  done
  echo $total
}

# Bytes sent over all sockets of a process.
sent_bytes() {
  ss -tinpH | awk -v pid="pid=$1," 'index($0, pid) { own = 1; next } own { if (match($0, /bytes_sent:[0-9]+/)) sum += substr($0, RSTART + 11, RLENGTH - 11); own = 0 } END { print sum + 0 }'
}

gossip_bytes() {
  local port
  for port in $2; do curl -s "http://$port/metrics"; done | awk '/gossip.*bytes.*sent/ { sum += $2 } END { print sum + 0 }'
}

printf '%8s %10s %14s %14s %14s %10s\n' daemons databases 'cpu %/daemon' 'B/s/daemon' 'gossip B/s' 'RSS MB'
for size in "${sizes[@]}"; do
  daemons=${size%:*}
  databases=${size#*:}
  out=$(mktemp)
  build/endivetrestle demo --daemons "$daemons" --databases "$databases" > "$out" 2> /dev/null &
  pid=$!
  for _ in $(seq 100); do grep -q 'serving until' "$out" && break; sleep 0.2; done
  sleep 3
  ports=$(sed -n 's/^export OPERATORS_[0-9]*=//p' "$out")
  ticks=$(cpu_ticks $pid); sent=$(sent_bytes $pid); gossip=$(gossip_bytes $pid "$ports")
  sleep "$seconds"
  ticks=$(($(cpu_ticks $pid) - ticks)); sent=$(($(sent_bytes $pid) - sent))
  gossip=$(($(gossip_bytes $pid "$ports" | cut -d. -f1) - ${gossip%.*}))
  memory=$(awk '/VmRSS/ { print $2 }' /proc/$pid/status)
  awk -v d="$daemons" -v b="$databases" -v t="$ticks" -v s="$sent" -v g="$gossip" -v m="$memory" -v n="$seconds" 'BEGIN {
    printf "%8d %10d %14.3f %14.0f %14.0f %10.1f\n", d, b, t / n / d, s / n / d, g / n / d, m / 1024 }'
  kill $pid
  wait $pid || true
  rm -f "$out"
done
