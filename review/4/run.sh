#!/usr/bin/env bash
# TROUBLE=0 sends no SIGTERM. Exits with 1 if a stream that the gateway took after the SIGTERM was cut off.
source "$(dirname "$0")/../support/lib.sh"
mapfile -t PORTS < <($STANDINS/ports 6)
start_store "${PORTS[0]}"
write_settings "$WORK/g1.toml" g1 z1 "${PORTS[1]}" "${PORTS[2]}" "${PORTS[3]}" "${PORTS[4]}" "${PORTS[0]}" "${PORTS[3]}"
start_gateway g1 "$WORK/g1.toml"
timeout 110 $STANDINS/play-4 "${PORTS[1]}" "${PORTS[2]}" "${PORTS[0]}" "${PORTS[5]}" "$CASE/record.txt" "$TROUBLE" "$LAST_PID" && code=0 || code=$?
[ "$code" -le 1 ] || { tail -n 5 "$WORK"/*.log; exit 2; }
exit "$code"
