#!/usr/bin/env bash
# Guards against an entry VM that stays up after its log of unrepeatable
# requests has failed, and never again keeps records on its own disk.
. "$(dirname "$0")/support_proc.sh"

has_failed() {
    grep -q 'Record log failed' "$WORK/north-2.log"
}

has_ended() {
    ! kill -0 "${PID[north-2]}" 2>/dev/null
}

trap '' XFSZ
setup_run "${1:-build}"
start_standard_cluster
prlimit --pid "${PID[north-2]}" --fsize=$((128 * 1024)):unlimited
start_load load --rate 300 --seconds 15 --run-us 2000 \
    --unrepeatable-percent 100 --deadline-ms 3000
WAIT_S=14
wait_for "a failed write of a record" has_failed
! grep -q 'Replica stopped' "$WORK/north-2.log" ||
    fail "the log of the configuration has failed, too"
WAIT_S=10
wait_for "the end of north-2" has_ended
status=0
wait "${PID[north-2]}" || status=$?
[ "$status" -eq 1 ] || fail "ended with status $status, expected 1"
start_entry north-2
wait_for "readiness of north-2" is_ready north-2
wait_for_load load
echo "PASS: an entry VM whose record log has failed ends and returns"
