#!/usr/bin/env bash
# One client that the users don't control sends ten requests a second, within max_header_bytes, whose Connection header lists many
# names. Exits with 1 if fewer than half of the ordinary callers meanwhile get the answer of an engine, else with 0.
source "$(dirname "$0")/../support-2/lib.sh"
REQUESTS=180
PAUSE_MS=100
TIMEOUT_MS=1500

start_store
for zone in a b c; do start_desk "desk-$zone" "$zone"; done
publish "$ROUTE_LOOK,$ROUTE_ORDER"
start_gateway front-1 a 390 6150
wait_until 10 "$CLIENT" call GET "$READY" /readiness || give_up "the gateway is not ready"
sleep 2
start before "$CLIENT" steady "$FRONT" /look/1 10 5 "$TIMEOUT_MS"
wait "$LAST"
[ "$(grep -c status=200 "$WORK/before.log")" -gt 45 ] || give_up "ordinary callers are not served"
if [ "$TROUBLE" != 0 ]; then
    start tokens "$CLIENT" tokens "$FRONT" /look/2 "$REQUESTS" "$PAUSE_MS"
fi
sleep 2
start steady "$CLIENT" steady "$FRONT" /look/1 10 15 "$TIMEOUT_MS"
wait "$LAST"
note "cpu_ticks_of_gateway=$(awk '{ print $14 + $15 }' "/proc/$GATEWAY/stat") ticks_per_s=$(getconf CLK_TCK)"
cat "$WORK/before.log" "$WORK/steady.log" >>"$RECORD"
[ "$TROUBLE" = 0 ] || cat "$WORK/tokens.log" >>"$RECORD"
grep -h 'request=tokens' "$WORK/front-1.log" | head -20 >>"$RECORD"
ALL=$(grep -c sent_at "$WORK/steady.log")
SERVED=$(grep -c status=200 "$WORK/steady.log")
note "ordinary=$ALL served=$SERVED refused=$(grep -c status=503 "$WORK/steady.log") without_any_answer=$(grep -c 'status=0 ' "$WORK/steady.log")"
if [ $((2 * SERVED)) -lt "$ALL" ]; then
    note "broken: ordinary callers get no answers beside the client"
    exit 1
fi
note "held"
