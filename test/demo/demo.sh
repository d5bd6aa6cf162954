#!/usr/bin/env bash
# Runs the whole system on loopback: stand-ins, three daemons, a bundle that two
# operators sign, budgets, streamed requests of two customers and their bills.
# Ends with "demo: ok" (exit 0), or with "demo: failed: REASON" (exit 1).
set -u
cd "$(dirname "$0")/../.."
bin=$PWD/bin
dir=$(mktemp -d)
pids=()

finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$dir"
}
trap finish EXIT

fail() {
  echo "demo: failed: $*"
  exit 1
}

# start NAME COMMAND...: starts a stand-in and sets addr to the address that it prints.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  pids+=($!)
  for _ in $(seq 100); do
    addr=$(sed -n 's/^listening //p' "$dir/$name.out")
    [ -n "$addr" ] && return
    sleep 0.05
  done
  fail "$name did not start: $(tail -n 1 "$dir/$name.err")"
}

# operate NAME ARGS...: runs the peppertrail command as operator NAME.
operate() {
  local name=$1
  shift
  "$bin/peppertrail" --admin "http://127.0.0.1:${admin_ports[0]}" --operator "$name" --key "$dir/$name.key" "$@"
}

# ask CUSTOMER DAEMON KEY PROMPT: sends a streamed request of a customer through the
# daemon with index DAEMON. KEY is the idempotency key.
ask() {
  echo "$1 asks daemon $2 ($3):"
  "$bin/peppertrail" requests send --daemon "http://127.0.0.1:${caller_ports[$2]}" --key-file "$dir/$1.api" \
    --model chef --max-tokens 24 --idempotency-key "$3" --prompt "$4" || fail "request $3 was refused"
  echo
}

# member ID JSON: adds target ID to the membership list of the platform.
member() {
  curl -fsS -X PUT -H 'Content-Type: application/json' -d "$2" "$platform/members/$1" >/dev/null || fail "membership of $1"
}

free_port() {
  python3 -c 'import socket; s=socket.socket(); s.bind(("127.0.0.1",0)); print(s.getsockname()[1])' 2>/dev/null
}

start platform "$bin/pepperstand" platform --listen 127.0.0.1:0
platform=http://$addr
for i in 0 1; do
  start "engine$i" "$bin/pepperstand" engine --kind promtext --token-ms 5 --listen 127.0.0.1:0
  member "chef-$i" "{\"id\":\"chef-$i\",\"kind\":\"target\",\"addr\":\"$addr\",\"region\":\"morbihan\",\"failure_domain\":\"kerhoas-nord\",\"service\":\"chef-llm\",\"state\":\"live\"}"
done

for name in ana ben; do
  "$bin/peppertrail" keys operator --name $name --out "$dir/$name.key" --json >"$dir/$name.json" || fail "key of $name"
done
for name in regie lanester; do
  "$bin/peppertrail" keys customer --out "$dir/$name.api" --json >"$dir/$name.json" || fail "key of $name"
done
public() { sed -n 's/.*"public_key": *"\([^"]*\)".*/\1/p' "$dir/$1.json"; }
hash_of() { grep -o '[0-9a-f]\{64\}' "$dir/$1.json" | head -n 1; }

caller_ports=() admin_ports=() peer_ports=()
for i in 0 1 2; do
  caller_ports+=("$(free_port)")
  admin_ports+=("$(free_port)")
  peer_ports+=("$(free_port)")
  "$bin/peppertraild" --host "host$i" --region morbihan --failure-domain kerhoas-nord --platform "$platform" \
    --listen "127.0.0.1:${caller_ports[$i]}" --admin-listen "127.0.0.1:${admin_ports[$i]}" --peer-listen "127.0.0.1:${peer_ports[$i]}" \
    --bootstrap-operator "ana=$(public ana)" --bootstrap-operator "ben=$(public ben)" \
    2>"$dir/daemon$i.err" &
  pids+=($!)
done

cat >"$dir/bundle.json" <<JSON
{
  "base": 0,
  "operators": [
    {"name": "ana", "public_key": "$(public ana)"},
    {"name": "ben", "public_key": "$(public ben)"}
  ],
  "required_signoffs": 2,
  "customers": [
    {"id": "regie", "key_hashes": ["$(hash_of regie)"], "services": ["chef-llm"], "budget": "regie-main",
     "max_priority": 9, "grant_cover_seconds": 120, "grant_min_tokens": 2000, "grant_max_share": 0.5},
    {"id": "lanester", "key_hashes": ["$(hash_of lanester)"], "services": ["chef-llm"], "budget": "lanester-main",
     "max_priority": 5, "grant_cover_seconds": 30, "grant_min_tokens": 2000, "grant_max_share": 0.5}
  ],
  "services": [
    {"name": "chef-llm", "model": "chef", "kind": "promtext", "fenced": false, "non_idempotent": [],
     "max_output": 256, "call_cost": 0, "slow_start_seconds": 0}
  ]
}
JSON

for _ in $(seq 100); do
  curl -fsS "http://127.0.0.1:${admin_ports[0]}/healthz" >/dev/null 2>&1 && break
  sleep 0.1
done

echo "== bundle: submitted by ana, signed off by ben"
"$bin/peppertrail" bundle check "$dir/bundle.json" || fail "bundle check"
operate ana --json bundle submit "$dir/bundle.json" >"$dir/submit.json" || fail "bundle submit: $(cat "$dir/submit.json")"
digest=$(grep -o '[0-9a-f]\{64\}' "$dir/submit.json" | head -n 1)
operate ben bundle sign "$digest" || fail "bundle sign"

echo "== budgets"
operate ana budgets create --customer regie --tokens 20000 regie-main || fail "budget regie-main"
operate ana budgets create --customer lanester --tokens 5000 lanester-main || fail "budget lanester-main"

for i in 0 1 2; do
  for _ in $(seq 100); do
    curl -fsS "http://127.0.0.1:${admin_ports[$i]}/readyz" 2>/dev/null | grep -q '"targets":2' && break
    sleep 0.1
  done
  curl -fsS "http://127.0.0.1:${admin_ports[$i]}/readyz" >/dev/null || fail "daemon $i is not ready: $(tail -n 2 "$dir/daemon$i.err")"
done

echo "== before"
operate ana budgets list || fail "budgets list"
echo "== requests"
ask regie 0 breakfast "Which breakfast dishes of the day shift contain nuts?"
ask regie 1 roster "List the packed lunches of the night crew."
ask lanester 2 rations "How many rations does the depot need?"
ask regie 2 breakfast "Which breakfast dishes of the day shift contain nuts?"
echo "== after"
operate ana budgets list || fail "budgets list"
echo "== bill"
operate ana bill regie || fail "bill of regie"
operate ana bill lanester || fail "bill of lanester"
lines=$(operate ana --json bill regie | grep -c '"request": *"breakfast"')
[ "$lines" = 1 ] || fail "request breakfast has $lines bill lines, expected 1"
echo "== explained"
operate ana requests show regie breakfast || fail "requests show"

# The first three processes are the stand-ins, the next three are the daemons.
for pid in "${pids[@]:3:3}"; do kill -TERM "$pid"; done
for pid in "${pids[@]:3:3}"; do
  wait "$pid" || fail "a daemon did not stop cleanly: $(tail -n 2 "$dir"/daemon*.err)"
done
echo "demo: ok"
