#!/usr/bin/env bash
# TROUBLE=0 cuts nothing. Exits with 1 if requests reached an engine over drain_ms after it was gone.
source "$(dirname "$0")/../support/lib.sh"
mapfile -t PORTS < <($STANDINS/ports 11)
start_store "${PORTS[0]}"
write_settings "$WORK/g1.toml" g1 z1 "${PORTS[1]}" "${PORTS[2]}" "${PORTS[3]}" "${PORTS[4]}" "${PORTS[5]}" "${PORTS[3]}"
start_gateway g1 "$WORK/g1.toml"
timeout 110 $STANDINS/play-5 "${PORTS[1]}" "${PORTS[2]}" "${PORTS[0]}" "${PORTS[5]}" "$CASE/record.txt" "$TROUBLE" "${PORTS[@]:6:5}" && code=0 || code=$?
[ "$code" -le 1 ] || { tail -n 5 "$WORK"/*.log; exit 2; }
[ -z "${KEEP:-}" ] || cp "$WORK"/*.log "$KEEP"
exit "$code"
