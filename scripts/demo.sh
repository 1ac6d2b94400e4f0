#!/usr/bin/env bash
# Runs a small mesh on loopback and stops by itself.  Usage: demo.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
work=$(mktemp -d)
pids=()

stop_all ()
{
  trap - EXIT
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

fail ()
{
  echo "demo: $*" >&2
  tail -n 5 "$work"/*.log >&2 || true
  exit 1
}

# Repeats a command until it succeeds; 20 s at most.
await ()
{
  local what=$1
  shift
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "$what did not happen"
}

write_settings ()
{
  cat >"$work/$1.toml" <<END
[node]
name = "$1"
data_centre = "$2"
region = "$3"
environment = "trial"
[listen]
http = "127.0.0.1:$4"
mesh = "127.0.0.1:$5"
admin = "127.0.0.1:$6"
[mesh]
seeds = ["127.0.0.1:17101", "127.0.0.1:17102"]
[platform]
url = "http://127.0.0.1:17000"
region = "west"
END
}

start ()
{
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

write_document ()
{
  cat >"$work/document.toml" <<END
[[service]]
name = "stock"
across = true

[[route]]
path = "$1"
methods = ["GET"]
service = "stock"
class = "repeatable"
deadline_ms = 2000
END
}

call ()
{
  curl -sS --noproxy '*' --max-time 5 -f "http://127.0.0.1:17201$1"
}

write_settings node-a dc-a west 17201 17101 17301
write_settings node-b dc-b north 17202 17102 17302
start platform "$build/standin-platform" 127.0.0.1:17000
start node-a "$build/mulberryshift" node --settings "$work/node-a.toml"
start node-b "$build/mulberryshift" node --settings "$work/node-b.toml"
start upstream-a "$build/standin-upstream" 127.0.0.1:17401 127.0.0.1:17301 stock stock-a 6
start upstream-b "$build/standin-upstream" 127.0.0.1:17402 127.0.0.1:17302 stock stock-b 6
await "start of the nodes" curl -sf --noproxy '*' http://127.0.0.1:17301/healthz

write_document /stock
await "first apply" "$build/mulberryshift" apply --settings "$work/node-a.toml" \
  --environment trial "$work/document.toml"
await "first call" call /stock
echo "first document in force; a call answered by: $(call /stock)"

write_document /goods
"$build/mulberryshift" apply --settings "$work/node-a.toml" \
  --environment trial "$work/document.toml"
await "second version in force" call /goods
if call /stock >/dev/null 2>&1; then fail "the replaced route still answers"; fi
echo "second document in force; a call answered by: $(call /goods)"

kill -TERM "${pids[1]}"
wait "${pids[1]}" || fail "node-a did not stop gracefully"
echo "node-a drained and stopped"
stop_all
echo "demo passed"
