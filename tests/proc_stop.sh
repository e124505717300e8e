#!/usr/bin/env bash
# Guards against a planned stop of an entry VM that cuts off a request in
# flight: callers must see no lost or unknown request.
. "$(dirname "$0")/support_proc.sh"
proc_begin "$1"
standard_cluster
start_load load --rate 150 --seconds 10 --run-us 30000 --resend 20 \
    --unrepeatable-percent 10 "${VERIFY[@]}"
for name in north-2 south-1 north-1; do
    sleep 1
    stop_process "$name"
    [ "$STOP_STATUS" -eq 0 ] || fail "$name ended with $STOP_STATUS"
    start_entry "$name"
    wait_for "return of $name" is_ready "$name"
done
end_load load
expect load lost -eq 0
expect load unable -eq 0
expect load done -gt 1000
