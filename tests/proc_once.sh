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
# A target offers 64 connections. Idle ones of entry VMs count as well.
for port in $((BASE + 20)) $((BASE + 28)); do
    most=$(curl -s --noproxy '*' "http://127.0.0.1:$port/standin/counts" |
        grep -o '"highest_connections": *[0-9]*' | grep -o '[0-9]*$' |
        sort -n | tail -1)
    echo "connections at a target of port $port: at most $most"
    [ "$most" -le 64 ] || fail "$most connections at one target"
done
