#!/usr/bin/env bash
# Runs the commands of docs/operators.md against real processes on loopback and
# checks exit codes and the key words of the output.  Stops by itself.
# Usage: try_docs.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${1:-build}")
work=$(mktemp -d)
declare -A pids=()
checks=0
export USER=operator
PATH="$build:$PATH"

stop_all ()
{
  trap - EXIT
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

fail ()
{
  echo "try_docs: $*" >&2
  exit 1
}

# expect CODE WORDS COMMAND...: runs the command and checks its exit code and
# that its output contains WORDS, "|" between several.
expect ()
{
  local code=$1 words=$2 result=0 word
  shift 2
  "$@" >"$work/output" 2>&1 || result=$?
  if [ "$result" != "$code" ]; then
    cat "$work/output" >&2
    fail "exit code $result instead of $code: $*"
  fi
  IFS='|' read -ra list <<<"$words"
  for word in "${list[@]}"; do
    grep -qF -- "$word" "$work/output" || {
      cat "$work/output" >&2
      fail "\"$word\" is missing in the output of: $*"
    }
  done
  checks=$((checks + 1))
}

# expect_known_red NAME CODE WORDS COMMAND...: like expect, but a failure of a
# check that KNOWN-RED.txt lists as try_docs.NAME is printed and passed over.
expect_known_red ()
{
  local name=$1
  shift
  if (expect "$@"); then
    checks=$((checks + 1))
  elif grep -qxF "test: try_docs.$name" KNOWN-RED.txt 2>/dev/null; then
    echo "passing over a failure listed in KNOWN-RED.txt: try_docs.$name"
  else
    exit 1
  fi
}

# await WORDS COMMAND...: repeats the command until its output contains WORDS;
# 15 s at most.
await ()
{
  local words=$1
  shift
  for _ in $(seq 150); do
    if "$@" 2>&1 | grep -qF -- "$words"; then
      checks=$((checks + 1))
      return 0
    fi
    sleep 0.1
  done
  "$@" >&2 || true
  fail "\"$words\" did not appear in the output of: $*"
}

start ()
{
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

http ()
{
  curl -sS -i --noproxy '*' --max-time 5 "$@"
}

set_faults ()
{
  http -X PUT -d "$2" "http://127.0.0.1:$1/v1/faults" >/dev/null
}

# Writes a configuration object past the program, as a restored backup would.
restore ()
{
  http -X PUT -d "{\"key\":\"config/trial\",\"value\":\"{\\\"version\\\":$1,\
\\\"change_id\\\":\\\"00000000000000000000000000000000\\\",\
\\\"author\\\":\\\"bob\\\",\\\"note\\\":\\\"\\\",\\\"written_at\\\":1000,\
\\\"document\\\":\\\"$2\\\"}\"}" http://127.0.0.1:27010/v1/restore >/dev/null
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
seeds = ["127.0.0.1:27111", "127.0.0.1:27113"]
[log]
level = "info"
[platform]
url = "http://127.0.0.1:27010"
region = "west"
END
}

write_operator ()
{
  printf '[operator]\nname = "%s"\n[platform]\nurl = "http://127.0.0.1:%s"\n' \
    "$2" "$3" >"$work/$1.toml"
}

try_arguments ()
{
  local command
  expect 2 "A command is missing.|Usage:" mulberryshift
  expect 0 "Usage:|trace" mulberryshift --help
  expect 0 "mulberryshift " mulberryshift --version
  expect 2 "There is no command" mulberryshift unheard-of
  expect 2 "There is no option" mulberryshift --unheard-of
  for command in node check apply promote status history show diff trace; do
    expect 0 "Usage: mulberryshift $command|Example: mulberryshift $command" \
      mulberryshift "$command" --help
    expect 2 "mulberryshift $command --help explains" \
      mulberryshift "$command" --unheard-of
  done
  expect 0 'name = "stock-1"|drain_ms = 30000' \
    mulberryshift node --settings examples/node.toml --print-settings
  expect 2 "check the name of the settings file" \
    mulberryshift node --settings "$work/missing.toml"
  expect 2 "The node was not started|has no key \"service\"" \
    mulberryshift node --settings examples/mistakes.toml
}

try_check ()
{
  expect 0 "is valid: 2 services, 2 routes." \
    mulberryshift check examples/document.toml
  expect 2 "toml:7:8: the path|toml:9:11: service|toml:10:9: class" \
    mulberryshift check examples/mistakes.toml
  [ "$(wc -l <"$work/output")" = 3 ] || fail "check reports other faults too"
  expect 2 "check the name of the document" mulberryshift check "$work/missing"
  head -c 196609 /dev/zero | tr '\0' '#' >"$work/long.toml"
  expect 2 "at most 196608 are allowed" mulberryshift check "$work/long.toml"
  cat >"$work/second.toml" <<'END'
[[service]]
name = "stock"
[[service]]
name = "spare"
[[route]]
path = "/goods"
service = "stock"
class = "once"
END
  expect 0 'warning: no route leads to service "spare"|is valid' \
    mulberryshift check "$work/second.toml"
}

start_mesh ()
{
  write_settings node-a dc-a west 27211 27111 27311
  write_settings node-b dc-a west 27212 27112 27312
  write_settings node-c dc-b north 27213 27113 27313
  write_operator operator ana 27010
  start platform standin-platform 127.0.0.1:27010
  for node in node-a node-b node-c; do
    start "$node" mulberryshift node --settings "$work/$node.toml"
  done
  start upstream-a standin-upstream 127.0.0.1:27411 127.0.0.1:27311 stock \
    stock-a 6
  start upstream-c standin-upstream 127.0.0.1:27413 127.0.0.1:27313 stock \
    stock-c 6
  for port in 27311 27312 27313; do
    await "200 OK" http "http://127.0.0.1:$port/healthz"
  done
  expect 1 "Address already in use" \
    mulberryshift node --settings "$work/node-a.toml"
}

try_apply ()
{
  expect 0 "no configuration yet|503" http http://127.0.0.1:27311/readyz
  expect 0 "this node has no configuration yet|not-run" \
    http http://127.0.0.1:27211/stock
  expect 1 "has no document yet" mulberryshift status "${trial[@]}"
  expect 2 "Nothing was written: correct the document first." \
    mulberryshift apply "${trial[@]}" examples/mistakes.toml
  expect 2 "1 to 3600 seconds" \
    mulberryshift apply "${trial[@]}" --timeout 0 examples/document.toml
  expect 0 "Version 1 of trial is written.|is in effect on every node." \
    mulberryshift apply "${trial[@]}" --wait examples/document.toml
  await "dc-a (west): version 1 is in effect on all nodes (2)" \
    mulberryshift status "${trial[@]}"
  await "dc-b (north): version 1 is in effect on all nodes (1)" \
    mulberryshift status "${trial[@]}"
  expect 0 '"data_centres"' mulberryshift status "${trial[@]}" --json
  await "ready" http http://127.0.0.1:27312/readyz
}

try_upstream ()
{
  local url=http://127.0.0.1:27312/v1/upstream
  expect 0 "200 OK|announced" http -X PUT -d '{"service": "orders",
    "name": "orders-b", "address": "127.0.0.1:27999", "slots": 4}' $url
  expect 0 "400|this announcement is not valid" http -X PUT -d '{}' $url
  expect 0 "405|use PUT or DELETE" http $url
  await "cannot connect to 127.0.0.1:27999" \
    http -X POST http://127.0.0.1:27211/orders
  expect 0 "200 OK|left" http -X DELETE $url
  await "no upstream of this service is available" \
    http -X POST http://127.0.0.1:27211/orders
}

try_calls ()
{
  await "Mulberryshift-Outcome: answered" http http://127.0.0.1:27211/stock/5
  expect 0 "404|Mulberryshift-Outcome: not-run|no route matches" \
    http http://127.0.0.1:27211/stocks
  expect 0 "400|must be copied unchanged" \
    http -H "Mulberryshift-Context: x" http://127.0.0.1:27211/stock
  head -c 1048577 /dev/zero >"$work/body"
  expect_known_red refusal_of_a_long_body \
    0 "413|the request's body is too long" \
    http -X POST -H "Expect:" --data-binary "@$work/body" \
    http://127.0.0.1:27211/stock
  http http://127.0.0.1:27211/stock/5 >"$work/response"
  id=$(tr -d '\r' <"$work/response" | sed -n 's/^Mulberryshift-Call: //p')
  local trace=(mulberryshift trace --settings "$work/node-a.toml" --id "$id")
  expect 0 "call to service stock|try 1 at|status 200" "${trace[@]}"
  expect 0 '"calls"' "${trace[@]}" --json
  expect 1 "no trace of call" "${trace[@]}" --node 127.0.0.1:27312
  expect 0 "The node at 127.0.0.1:27999 did not answer|try 1 at" \
    "${trace[@]}" --node 127.0.0.1:27999 --node 127.0.0.1:27311
  expect 2 "is not a call ID" \
    mulberryshift trace --settings "$work/node-a.toml" --id 5
}

try_versions ()
{
  expect 0 "/goods: added|GET /stock: removed" \
    mulberryshift diff "${trial[@]}" "$work/second.toml"
  expect 0 "warning: no route leads|Version 2 of trial is in effect" \
    mulberryshift apply "${trial[@]}" --note "another route" --wait \
    "$work/second.toml"
  expect 0 "ana: another route  (the version in the platform)" \
    mulberryshift history "${trial[@]}"
  expect 0 "From version 1 to version 2:" mulberryshift diff "${trial[@]}"
  expect 0 "Mulberryshift-Outcome: answered" \
    http -X POST -H "Idempotency-Key: k1" http://127.0.0.1:27211/goods
  expect 0 "Mulberryshift-Duplicate: true" \
    http -X POST -H "Idempotency-Key: k1" http://127.0.0.1:27211/goods
  set_faults 27010 '{"down":true}'
  expect 0 "503|the platform could not confirm that the order is new" \
    http -X POST -H "Idempotency-Key: k2" http://127.0.0.1:27211/goods
  expect 0 "Mulberryshift-Outcome: answered" http http://127.0.0.1:27211/goods
  expect 1 "Nothing was written to trial" \
    mulberryshift apply "${trial[@]}" --timeout 1 examples/document.toml
  expect 1 "could not be read" mulberryshift status "${trial[@]}"
  set_faults 27010 '{}'
  mulberryshift show "${trial[@]}" --version 1 >"$work/old.toml"
  cmp "$work/old.toml" examples/document.toml || fail "show changes a document"
  expect 0 "Version 3 of trial is in effect" \
    mulberryshift apply "${trial[@]}" --note "back to version 1" --wait \
    "$work/old.toml"
  expect 0 "From version 1 to version 3:" \
    mulberryshift diff "${trial[@]}" --from 1 --to 3
  expect 1 "is not in the history" \
    mulberryshift show "${trial[@]}" --version 99
  expect 2 "is not a version" mulberryshift show "${trial[@]}" --version x
  expect 2 "The count must be" mulberryshift history "${trial[@]}" --count 0
  expect 2 "not both" \
    mulberryshift diff "${trial[@]}" --to 2 "$work/second.toml"
  expect 2 "is not the ID of a change" \
    mulberryshift history "${trial[@]}" --change abc
  expect 0 "Version 1 of production is written." mulberryshift promote \
    --settings "$work/operator.toml" --from trial --to production
  expect 0 "promoted from version 3 of trial" mulberryshift history \
    --settings "$work/operator.toml" --environment production
}

# Two operators at once and a lost response, against a platform of their own
# whose calls no node makes.
try_writers ()
{
  local ana=(--settings "$work/ana.toml" --environment trial) rival
  local bob=(--settings "$work/bob.toml" --environment trial) find
  write_operator ana ana 27020
  write_operator bob bob 27020
  start platform-2 standin-platform 127.0.0.1:27020
  await "200 OK" http http://127.0.0.1:27020/v1/counts
  expect 0 "Version 1" mulberryshift apply "${ana[@]}" examples/document.toml
  sed 's/2000/3000/' examples/document.toml >"$work/other.toml"
  set_faults 27020 '{"slow_ms":400}'
  mulberryshift apply "${ana[@]}" examples/document.toml >"$work/rival" 2>&1 &
  rival=$!
  local code=0 code_rival=0
  mulberryshift apply "${bob[@]}" "$work/other.toml" >"$work/own" 2>&1 \
    || code=$?
  wait "$rival" || code_rival=$?
  [ $((code + code_rival)) = 3 ] && [ $((code * code_rival)) = 0 ] \
    || fail "two writers ended with $code and $code_rival"
  grep -qF "Compare both, then apply again" "$work/own" "$work/rival" \
    || fail "the conflict is not explained"
  # The fifth call is the write; its response is lost.
  set_faults 27020 '{"lose":1,"down_after":5}'
  expect 4 "It is not known whether|mulberryshift history --settings" \
    mulberryshift apply "${ana[@]}" --timeout 2 examples/document.toml
  find=$(sed -n 's/.*To find out, run: //p' "$work/output")
  set_faults 27020 '{}'
  read -ra find <<<"$find"
  expect 0 "The change was written: it is version 3" "${find[@]}"
}

try_faults ()
{
  restore 4 '[[route]]\\\\npath = 1\\\\n'
  await "version 4 was rejected" mulberryshift status "${trial[@]}"
  expect 0 "Version 5 of trial is in effect" \
    mulberryshift apply "${trial[@]}" --wait examples/document.toml
  restore 1 ''
  expect 0 "Version 1 of trial was written by bob" \
    mulberryshift status "${trial[@]}"
  expect 0 "Version 6 of trial is in effect" \
    mulberryshift apply "${trial[@]}" --wait examples/document.toml
  kill -STOP "${pids[node-c]}"
  expect 4 "accepted, but not in effect everywhere|every node of dc-b" \
    mulberryshift apply "${trial[@]}" --wait --timeout 3 examples/document.toml
  kill -CONT "${pids[node-c]}"
  kill -KILL "${pids[node-b]}"
  wait "${pids[node-b]}" 2>/dev/null || true
  await "dc-b (north): version 7 is in effect on all nodes (1)" \
    mulberryshift status "${trial[@]}"
  await "not reachable: node-b" mulberryshift status "${trial[@]}"
  start node-b mulberryshift node --settings "$work/node-b.toml"
  await "dc-a (west): version 7 is in effect on all nodes (2)" \
    mulberryshift status "${trial[@]}"
}

# Every series that a node exposes is in the guide.
try_metrics ()
{
  local name
  http http://127.0.0.1:27311/metrics >"$work/metrics"
  sed -n 's/^mulberryshift_\([a-z_]*\).*/\1/p' "$work/metrics" \
    | sed 's/_seconds_\(sum\|count\)$/_seconds/' | sort -u >"$work/names"
  [ -s "$work/names" ] || fail "a node exposes no series"
  while read -r name; do
    grep -q "\`$name[{\`]" docs/operators.md \
      || fail "the series $name is not explained in docs/operators.md"
  done <"$work/names"
  expect 0 '"relay"|"version": 7' http http://127.0.0.1:27311/status
}

try_stop ()
{
  sed -i 's/level = "info"/level = "debug"/' "$work/node-a.toml"
  kill -HUP "${pids[node-a]}"
  await "settings read again" cat "$work/node-a.log"
  sed -i 's/level = "debug"/level = "loud"/' "$work/node-a.toml"
  kill -HUP "${pids[node-a]}"
  await "settings not read again" cat "$work/node-a.log"
  kill -TERM "${pids[node-a]}"
  await "draining" cat "$work/node-a.log"
  expect 0 "Connection: close|Outcome: answered" \
    http http://127.0.0.1:27211/stock
  wait "${pids[node-a]}" || fail "node-a did not stop gracefully"
  expect 0 '"message":"stopped"' cat "$work/node-a.log"
  unset 'pids[node-a]'
}

trial=(--settings "$work/operator.toml" --environment trial)
try_arguments
try_check
start_mesh
try_apply
try_upstream
try_calls
try_versions
try_writers
try_faults
try_metrics
try_stop
stop_all
echo "try_docs passed: $checks checks in $SECONDS s"
