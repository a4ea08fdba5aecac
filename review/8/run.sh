#!/usr/bin/env bash
# A part of a prompt crashes each engine that begins to write an answer on it, after its first event. Requests with that part come once a
# second, no two alike. Exits with 1 if more than three of them reach engines later than stable_window_ms after the fifth crash.
EVENTS_BEFORE_CRASH=1
SHARED=5c1e07a2:40
source "$(dirname "$0")/../support-2/crashing-part.sh"
