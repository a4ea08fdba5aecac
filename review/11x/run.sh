#!/usr/bin/env bash
# A caller that speaks HTTP/1.0 reads a stream that may not be resumed, and the engine is killed meanwhile. Exits with 1 if the stream looks
# complete to the caller without its last event, else with 0.
source "$(dirname "$0")/../support-2/lib.sh"
VERSION=${VERSION:-HTTP/1.0}
ROUTE_ONCE='{"name":"once","host":"spares.example","prefix":"/once/","kind":"streaming","timeout_ms":6000,"target_latency_ms":250,"priority":0,"service":"engines","max_attempts":1,"public":false,"session_affinity":true,"gap_target_ms":200}'

start_store
declare -A ENGINES
for engine in e1 e2 e3 e4 e5 e6; do
    start_engine "$engine" a none 0
    ENGINES[$engine]=$LAST
done
publish "$ROUTE_LOOK,$ROUTE_ORDER,$ROUTE_ONCE"
start_gateway front-1 a 390 6150
wait_until 10 "$CLIENT" call GET "$READY" /readiness || give_up "the gateway is not ready"
sleep 5
start stream "$CLIENT" stream "$FRONT" /once/1 "$VERSION"
STREAM=$LAST
wait_until 5 grep -q '^engine' "$WORK/stream.log" || give_up "the stream did not begin"
sleep 0.15
if [ "$TROUBLE" != 0 ]; then
    kill -KILL "${ENGINES[$(awk '/^engine/ { print $2 }' "$WORK/stream.log")]}"
fi
wait "$STREAM"
cat "$WORK/stream.log" "$WORK/engines.record" >>"$RECORD"
note "$(grep '^ended' "$WORK/stream.log")"
EVENTS=$(sed -n 's/^ended.* events=\([0-9]*\).*/\1/p' "$WORK/stream.log")
if grep -q 'status=200 .*looks_complete=yes' "$WORK/stream.log" && [ "$EVENTS" -lt 20 ]; then
    note "broken: an answer that ended early looks complete"
    exit 1
fi
note "held"
