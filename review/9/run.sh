#!/usr/bin/env bash
# A part of a prompt, the ninth, crashes each engine that begins to write an answer on it, before its first event. The eight parts before it
# are those of the sound requests too. Requests with that part come once a second, no two alike. Exits with 1 if more than three of them reach
# engines later than stable_window_ms after the fifth crash.
EVENTS_BEFORE_CRASH=0
SHARED=5c1e07a2:40,a1:10,a2:10,a3:10,a4:10,a5:10,a6:10,a7:10
source "$(dirname "$0")/../support-2/crashing-part.sh"
