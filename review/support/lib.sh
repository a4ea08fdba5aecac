# Sourced by the scripts of the cases. Starts the store's stand-in and gateways, and ends all that a script started.
set -euo pipefail
CASE=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$CASE/../.."
STANDINS=build-review/bin
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
PIDS=()
export TROUBLE

finish() {
    for pid in "${PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$WORK"
}
trap finish EXIT

for program in target/bin/hemlockweir $STANDINS/ports $STANDINS/standin-kvstore; do
    [ -x "$program" ] || { echo "missing: $program"; exit 2; }
done

# start NAME COMMAND...: runs a program in the background; its process id is in LAST_PID.
start() {
    local name=$1
    shift
    "$@" >"$WORK/$name.log" 2>&1 &
    LAST_PID=$!
    PIDS+=("$LAST_PID")
}

start_store() { start store $STANDINS/standin-kvstore --listen "127.0.0.1:$1"; }

# write_settings FILE NAME ZONE FRONT READY CONTROL PEERS STORE SEEDS...: the settings that deploy/settings.toml yields for a
# small deployment.
write_settings() {
    local file=$1 name=$2 zone=$3 front=$4 ready=$5 control=$6 peers=$7 store=$8 seeds=""
    shift 8
    for seed in "$@"; do seeds="$seeds${seeds:+, }\"127.0.0.1:$seed\""; done
    cat >"$file" <<TOML
[gateway]
node = "$name"
failure_domain = "$zone"
callers = "127.0.0.1:$front"
ready = "127.0.0.1:$ready"
control = "127.0.0.1:$control"
peers = "127.0.0.1:$peers"
seeds = [$seeds]
first_start = true

[gateway.platform]
store = "127.0.0.1:$store"

[gateway.stop]
grace_ms = 8000

[gateway.retries]
per_request = 0.2
allowance = 109
window_ms = 10000
TOML
}

# start_gateway NAME SETTINGS: with the command of the deploy file.
start_gateway() { start "$1" target/bin/hemlockweir --settings "$2"; }
