#!/usr/bin/env bash
# Guards against an unrepeatable request that is executed twice, and a request
# that is executed although the caller was told that it was not, when entry VMs
# are killed or suspended while callers resend. The targets count executions by
# request id.
. "$(dirname "$0")/support_proc.sh"
setup_run "$1"
start_standard_cluster
start_load load --rate 100 --seconds 20 --run-us 20000 --resend 20 \
    --unrepeatable-percent 100 --twice-percent 20 --deadline-ms 3000 \
    "${VERIFY[@]}"
for name in north-1 north-2 south-1; do
    sleep 1
    kill_process "$name"
    sleep 0.5
    start_entry "$name"
    wait_for "readiness of $name after the kill" is_ready "$name"
    sleep 0.5
    send_signal "$name" STOP
    sleep 2
    send_signal "$name" CONT
    wait_for "readiness of $name after the suspension" is_ready "$name"
done
wait_for_load load
expect_count load verified -gt 1000
expect_count load done -gt 500
# A target offers 64 connections, which include idle ones of the entry VMs.
for port in $((BASE_PORT + 20)) $((BASE_PORT + 28)); do
    most=$(curl -s --noproxy '*' "http://127.0.0.1:$port/standin/counts" |
        grep -o '"highest_connections": *[0-9]*' | grep -o '[0-9]*$' |
        sort -n | tail -1)
    echo "connections at a target of port $port: at most $most"
    [ "$most" -le 64 ] ||
        fail "$most connections at one target, expected at most 64"
done
