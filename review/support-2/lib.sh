# Sourced by the scripts of review/6 to review/10. Starts a small deployment on loopback addresses: the stand-in of the store, plain
# services, and gateways with the command and the template of the deploy file. All processes that it started end with the script.
set -uo pipefail
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.."
BIN=target/bin
CLIENT=target/review-2/client
ENGINE=target/review-2/engine
TROUBLE="${TROUBLE:-1}"
RECORD="$CASE/record.txt"
WORK=$(mktemp -d)
PIDS=()
: >"$RECORD"

# shellcheck disable=SC2317
stop_all() {
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null; done
    sleep 0.3
    for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    [ -n "${KEEP:-}" ] && cp -r "$WORK" "$KEEP"; rm -rf "$WORK"
}
trap stop_all EXIT

note() { printf '%s\n' "$*" | tee -a "$RECORD"; }

# The case couldn't run.
give_up() {
    note "could not run: $*"
    tail -n 5 "$WORK"/*.log 2>/dev/null
    exit 2
}

# start NAME COMMAND...: starts a process in the background. Its id is in LAST.
start() {
    local name=$1
    shift
    "$@" >"$WORK/$name.log" 2>&1 &
    LAST=$!
    PIDS+=("$LAST")
}

# wait_until SECONDS COMMAND...
wait_until() {
    local tries=$(($1 * 10))
    shift
    for _ in $(seq 1 "$tries"); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    return 1
}

for program in "$BIN/hemlockweir" "$BIN/standin-kvstore" "$BIN/standin-member" "$CLIENT" "$ENGINE"; do
    [ -x "$program" ] || give_up "$program is missing; run review/build-2.sh"
done
mapfile -t PORTS < <("$CLIENT" ports 40)

# take_port: the next free port, in PORT.
take_port() {
    PORT=${PORTS[0]}
    PORTS=("${PORTS[@]:1}")
}

start_store() {
    take_port
    STORE=127.0.0.1:$PORT
    start store "$BIN/standin-kvstore" --listen "$STORE"
    wait_until 10 "$CLIENT" call GET "$STORE" /effects || give_up "the store does not answer"
}

# start_desk ID ZONE: an engine of the plain service.
start_desk() {
    take_port
    start "$1" "$BIN/standin-member" --plain --listen "127.0.0.1:$PORT" --advertised "127.0.0.1:$PORT" --id "$1" --zone "$2" --service desk --store "$STORE" --effects "$WORK/$1.effects"
}

# start_gateway NAME ZONE MEMORY_MB MAX_OPEN_FILES: its addresses are in FRONT and READY, its process id in GATEWAY.
start_gateway() {
    take_port && FRONT=127.0.0.1:$PORT
    take_port && READY=127.0.0.1:$PORT
    take_port && local control=127.0.0.1:$PORT
    take_port && local peers=127.0.0.1:$PORT
    cat >"$WORK/$1.toml" <<TOML
[gateway]
node = "$1"
failure_domain = "$2"
callers = "$FRONT"
ready = "$READY"
control = "$control"
peers = "$peers"
seeds = []
first_start = true

[gateway.platform]
store = "$STORE"
heartbeat_ms = 400

[gateway.stop]
grace_ms = 8000

[gateway.retries]
per_request = 0.2
allowance = 107
window_ms = 10000

[gateway.memory]
memory_mb = $3
max_open_files = $4
TOML
    start "$1" "$BIN/hemlockweir" --settings "$WORK/$1.toml"
    GATEWAY=$LAST
}

# start_engine ID ZONE BAD_PART EVENTS [MODEL CUT LATE]: a model engine that a part of a prompt crashes after so many events.
start_engine() {
    take_port
    start "$1" "$ENGINE" "$PORT" "$1" "$2" "$STORE" "$3" "$4" "$WORK/engines.record" "${@:5}"
}

# publish ROUTES: writes the configuration with these routes, as the operator does.
publish() {
    cat >"$WORK/config.json" <<JSON
{"version":1,"routes":[$1],
"services":[{"name":"desk","health_path":"/health","max_connections":51,"protocol":"h1","tls":false},
{"name":"engines","health_path":"/health","max_connections":208,"protocol":"h1","tls":false,"engine":{"slots":17,"kv_capacity":1860000,"stride":5,"models":[{"name":"m0","size":1,"share":1.0,"pace":1.0,"load_s":16.0,"warm_s":1.6}],"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900.0,"pairs_per_m":0.433,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":5.0,"loads_at_once":7,"keeps":1,"far_x":2.5,"form_ms":300.0}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"church","api_keys":["key-of-a-church"],"priority":1}]}
JSON
    "$CLIENT" call PUT "$STORE" "/entry?key=op/config" "$WORK/config.json" >/dev/null || give_up "the store did not take the configuration"
}

# The routes of the plain service: reads, and orders that must not run twice.
ROUTE_LOOK='{"name":"look","host":"spares.example","prefix":"/look/","kind":"safe","timeout_ms":1500,"target_latency_ms":100,"priority":2,"service":"desk","max_attempts":2,"public":false}'
ROUTE_ORDER='{"name":"order","host":"spares.example","prefix":"/order/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":100,"priority":2,"service":"desk","max_attempts":1,"public":false}'

# shellcheck disable=SC2034
ROUTE_DRAFT='{"name":"draft","host":"spares.example","prefix":"/draft/","kind":"streaming","timeout_ms":6000,"target_latency_ms":250,"priority":0,"service":"engines","max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,"gap_target_ms":200}'

# Memory of a process in KB: the most that was resident at a time.
peak_kb() { awk '/^VmHWM:/ { print $2 }' "/proc/$1/status"; }
