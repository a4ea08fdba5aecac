#!/usr/bin/env bash
# TROUBLE=0 lets all orders be answered and carried out at once; the SIGTERM of the planner stays, as it is planned work. Exits with
# 1 if an engine took a join of another group while it was an open head.
source "$(dirname "$0")/../support/lib.sh"
ENGINES=12
mapfile -t PORTS < <($STANDINS/ports $((9 + 2 * ENGINES)))
STORE=${PORTS[0]}
start_store "$STORE"
write_settings "$WORK/g1.toml" g1 z1 "${PORTS[1]}" "${PORTS[2]}" "${PORTS[3]}" "${PORTS[4]}" "$STORE" "${PORTS[3]}" "${PORTS[7]}"
write_settings "$WORK/g2.toml" g2 z1 "${PORTS[5]}" "${PORTS[6]}" "${PORTS[7]}" "${PORTS[8]}" "$STORE" "${PORTS[3]}" "${PORTS[7]}"
start_gateway g1 "$WORK/g1.toml"
PLANNER=$LAST_PID
for _ in $(seq 1 100); do
    grep -q planner_started "$WORK/g1.log" && break
    sleep 0.1
done
grep -q planner_started "$WORK/g1.log" || exit 2
start_gateway g2 "$WORK/g2.toml"
sleep 1.5
members=()
links=()
for i in $(seq 1 $ENGINES); do
    members+=(--member "e$(printf %02d "$i")=127.0.0.1:${PORTS[$((8 + i))]}")
    links+=("${PORTS[$((8 + ENGINES + i))]}=${PORTS[$((8 + i))]}=$WORK/e$(printf %02d "$i")")
done
timeout 110 $STANDINS/play-2 "${PORTS[5]}" "$STORE" "$CASE/record.txt" "$TROUBLE" "$PLANNER" "${links[@]}" &
PLAY=$!
PIDS+=("$PLAY")
sleep 1
for i in $(seq 1 $ENGINES); do
    id=e$(printf %02d "$i")
    start "$id" $STANDINS/standin-member --listen "127.0.0.1:${PORTS[$((8 + i))]}" --id "$id" --zone z1 --fabric f1 --service engines \
        --store "127.0.0.1:$STORE" --advertised "127.0.0.1:${PORTS[$((8 + ENGINES + i))]}" --effects "$WORK/$id" "${members[@]}"
done
wait "$PLAY" && code=0 || code=$?
[ "$code" -le 1 ] || { tail -n 5 "$WORK"/*.log; exit 2; }
[ -z "${KEEP:-}" ] || cp "$WORK"/*.log "$KEEP"
exit "$code"
