#!/usr/bin/env bash
# A part of a prompt crashes each engine that begins to write an answer on it. Four requests with that part come at once; five engines crash or
# more, and the part is blocked. Then the process of the gateway is killed and starts again, and four requests with that part
# come at once again, no two alike. Exits with 1 if more than three of them reach engines later than stable_window_ms after the fifth crash, from the
# gateway in touch.
source "$(dirname "$0")/../support-2/lib.sh"
BAD=bad0bad0
SHARED=5c1e07a2:40
STABLE_WINDOW_MS=3000

start_store
for engine in e1 e2 e3 e4; do start_engine "$engine" a "$BAD" 0; done
for engine in e5 e6 e7 e8; do start_engine "$engine" b "$BAD" 0; done
publish "$ROUTE_LOOK,$ROUTE_ORDER,$ROUTE_DRAFT"
start_gateway front-1 a 390 6150
wait_until 10 "$CLIENT" call GET "$READY" /readiness || give_up "the gateway is not ready"
sleep 5
start sound "$CLIENT" streams "$FRONT" /draft/1 "$SHARED" - 5 40
SOUND=$LAST
sleep 2
start bad1 "$CLIENT" streams "$FRONT" /draft/2 "$SHARED" "$BAD" 100 0.04
wait "$LAST"
sleep 3
start bad2 "$CLIENT" streams "$FRONT" /draft/3 "$SHARED" "$BAD" 1 3
wait "$LAST"
if [ "$TROUBLE" != 0 ]; then
    kill -KILL "$GATEWAY"
    sed -i 's/^first_start = true/first_start = false/' "$WORK/front-1.toml"
    start front-1b "$BIN/hemlockweir" --settings "$WORK/front-1.toml"
fi
wait_until 10 "$CLIENT" call GET "$READY" /readiness || give_up "the gateway is not ready again"
READY_AT=$(date +%s%3N)
sleep 5
start bad3 "$CLIENT" streams "$FRONT" /draft/4 "$SHARED" "$BAD" 100 0.04
wait "$LAST"
start bad4 "$CLIENT" streams "$FRONT" /draft/5 "$SHARED" "$BAD" 0.5 10
wait "$LAST"
wait "$SOUND"
cat "$WORK"/bad?.log "$WORK/engines.record" >>"$RECORD"
CRASHES=$(grep -c crashed "$WORK/engines.record")
note "sound=$(grep -c sent_at "$WORK/sound.log") complete=$(grep -c complete=yes "$WORK/sound.log") crashes=$CRASHES ready_at=$READY_AT"
[ "$(grep -c complete=yes "$WORK/sound.log")" -gt 0 ] || give_up "no stream was served"
if [ "$CRASHES" -lt 5 ]; then
    note "held: fewer than five crashes"
    exit 0
fi
FIFTH=$(grep crashed "$WORK/engines.record" | sort -n | sed -n 5p | cut -d' ' -f1)
FROM=$((FIFTH + STABLE_WINDOW_MS))
[ "$TROUBLE" = 0 ] || [ "$FROM" -gt $((READY_AT + STABLE_WINDOW_MS)) ] || FROM=$((READY_AT + STABLE_WINDOW_MS))
LATE=$(awk -v from="$FROM" '$3 == "arrived" && $5 == "bad" && $6 != "rejected" && $1 > from' "$WORK/engines.record" | wc -l)
note "fifth_crash_at=$FIFTH bad_requests_that_reached_engines_later=$LATE"
if [ "$LATE" -gt 3 ]; then
    note "broken: requests with the part reach engines again"
    exit 1
fi
note "held"
