#!/usr/bin/env bash
# Guards against an unrepeatable request that runs twice, and a request that
# ran after it was answered not run, when entry VMs are killed or frozen while
# callers resend. The targets count executions by request id.
. "$(dirname "$0")/support_proc.sh"
proc_begin "$1"
standard_cluster
start_load load --rate 100 --seconds 20 --run-us 20000 --resend 20 \
    --unrepeatable-percent 100 --twice-percent 20 --deadline-ms 3000 \
    "${VERIFY[@]}"
for name in north-1 north-2 south-1; do
    sleep 1
    kill_now "$name"
    sleep 0.5
    start_entry "$name"
    wait_for "return of $name" is_ready "$name"
    sleep 0.5
    signal "$name" STOP
    sleep 2
    signal "$name" CONT
    wait_for "answer of $name" is_ready "$name"
done
end_load load
expect load verified -gt 1000
expect load done -gt 500
