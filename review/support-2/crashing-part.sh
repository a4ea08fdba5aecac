# Sourced by review/8 and review/9: sound requests, and requests with a part that crashes engines, at one gateway with six engines. SHARED: the parts
# that both have; EVENTS_BEFORE_CRASH: events that an engine has written when it crashes. Exits with 1 if more than three requests with the
# part reach engines later than stable_window_ms after the fifth crash.
source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
BAD=bad0bad0
STABLE_WINDOW_MS=3000
SECONDS_OF_LOAD=30

start_store
for engine in e1 e2 e3; do start_engine "$engine" a "$BAD" "$EVENTS_BEFORE_CRASH"; done
for engine in e4 e5 e6; do start_engine "$engine" b "$BAD" "$EVENTS_BEFORE_CRASH"; done
publish "$ROUTE_LOOK,$ROUTE_ORDER,$ROUTE_DRAFT"
start_gateway front-1 a 390 6150
wait_until 10 "$CLIENT" call GET "$READY" /readiness || give_up "the gateway is not ready"
sleep 5
start sound "$CLIENT" streams "$FRONT" /draft/1 "$SHARED" - 5 "$SECONDS_OF_LOAD"
SOUND=$LAST
if [ "$TROUBLE" != 0 ]; then
    start bad "$CLIENT" streams "$FRONT" /draft/2 "$SHARED" "$BAD" 1 "$SECONDS_OF_LOAD"
    wait "$LAST"
fi
wait "$SOUND"
cat "$WORK/sound.log" "$WORK/engines.record" >>"$RECORD"
[ "$TROUBLE" = 0 ] || cat "$WORK/bad.log" >>"$RECORD"
CRASHES=$(grep -c crashed "$WORK/engines.record")
note "sound=$(grep -c sent_at "$WORK/sound.log") complete=$(grep -c complete=yes "$WORK/sound.log") crashes=$CRASHES"
[ "$(grep -c complete=yes "$WORK/sound.log")" -gt 0 ] || give_up "no stream was served"
if [ "$CRASHES" -lt 5 ]; then
    note "held: fewer than five crashes"
    exit 0
fi
FIFTH=$(grep crashed "$WORK/engines.record" | sort -n | sed -n 5p | cut -d' ' -f1)
LATE=$(awk -v from=$((FIFTH + STABLE_WINDOW_MS)) '$3 == "arrived" && $5 == "bad" && $6 != "rejected" && $1 > from' "$WORK/engines.record" | wc -l)
note "fifth_crash_at=$FIFTH bad_requests_that_reached_engines_later=$LATE"
if [ "$LATE" -gt 3 ]; then
    note "broken: requests with the part still reach engines"
    exit 1
fi
note "held"
