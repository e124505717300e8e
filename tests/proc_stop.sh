#!/usr/bin/env bash
# Guards against a planned stop of an entry VM that drops requests in flight:
# no request of a caller may be lost or answered as unable.
. "$(dirname "$0")/support_proc.sh"
setup_run "$1"
start_standard_cluster
start_load load --rate 150 --seconds 10 --run-us 30000 --resend 20 \
    --unrepeatable-percent 10 "${VERIFY[@]}"
for name in north-2 south-1 north-1; do
    sleep 1
    stop_process "$name"
    [ "$STOP_STATUS" -eq 0 ] || fail "$name exited with status $STOP_STATUS"
    start_entry "$name"
    wait_for "readiness of $name" is_ready "$name"
done
wait_for_load load
expect_count load lost -eq 0
expect_count load unable -eq 0
expect_count load done -gt 1000
