#!/usr/bin/env bash
# Guards against orders of the operator whose fate the lines of the control VMs
# do not tell: redirected, answered, or found late by a VM that was suspended.
# Usage: proc_order_trace.sh [BUILD]
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

# Within the silence limit of peers, so that no leader is lost.
STOP_S=0.8

now_ms() {
    date +%s%3N
}

# send_order NODE VERSION ARGS...: sends a configuration without following a
# redirect, and prints the status.
send_order() {
    platform_config "$2" jobs.example / >"$WORK/config"
    curl -s --noproxy '*' -m 1 -o "$WORK/body" -w '%{http_code}' -X PUT \
        --data-binary "@$WORK/config" \
        "$(control_url "$1" "$PLATFORM_CONFIG_PATH")" || true
}

# lines_of NODE EVENT VERSION: prints a node's lines about an order.
lines_of() {
    grep "\"event\":\"$2\".*\"kind\":\"put_config\",\"order\":$3[,}]" \
        "$WORK/$1.out"
}

# metric_of NODE SAMPLE: prints the value of a sample at a node.
metric_of() {
    curl -s --noproxy '*' -m 1 \
        "http://$(host_of "$1"):$((BASE_PORT + 4))/metrics" |
        grep -v "^#" | grep -F "$2 " | cut -d' ' -f2
}

# field_of LINE KEY: prints a number.
field_of() {
    grep -o "\"$2\":[0-9]*" <<<"$1" | head -1 | cut -d: -f2
}

check_answered_order() {
    local status line
    status=$(send_order "$LEADER" 1)
    [ "$status" = 200 ] || fail "$LEADER answered $status"
    wait_for "order_received" lines_of "$LEADER" order_received 1
    wait_for "request_answered" lines_of "$LEADER" request_answered 1
    line=$(lines_of "$LEADER" request_answered 1)
    [ "$(field_of "$line" status)" = 200 ] || fail "no status in $line"
    grep -q '"took_ms":[0-9]' <<<"$line" || fail "no took_ms in $line"
}

check_redirected_order() {
    local status
    status=$(send_order "$FOLLOWER" 2)
    [ "$status" = 307 ] || fail "$FOLLOWER answered $status"
    wait_for "request_redirected" lines_of "$FOLLOWER" request_redirected 2
    lines_of "$FOLLOWER" request_redirected 2 |
        grep -q "\"leader\":\"$(host_of "$LEADER"):" ||
        fail "the line does not name the leader"
    [ "$(metric_of "$FOLLOWER" \
        'coltsfoot_answers_total{kind="put_config",status="3xx"}')" = 1 ] ||
        fail "no metric counts the redirect"
}

has_stall_with_requests() {
    grep '"event":"stall_ended"' "$WORK/$1.out" |
        grep -E '"stalled_ms":[0-9]{3,},.*"requests":[1-9]'
}

# The lines about an order that a suspended VM finds in its socket carry the
# time at which it runs again.
check_order_at_suspended_node() {
    local resumed_ms line before_stalls
    before_stalls=$(metric_of "$FOLLOWER" coltsfoot_loop_stalls_total)
    kill -STOP "${PID[$FOLLOWER]}"
    send_order "$FOLLOWER" 3 >"$WORK/status" &
    sleep "$STOP_S"
    resumed_ms=$(now_ms)
    kill -CONT "${PID[$FOLLOWER]}"
    wait $!
    wait_for "the order" lines_of "$FOLLOWER" 'request_[a-z]*' 3
    wait_for "stall_ended" has_stall_with_requests "$FOLLOWER"
    line=$(lines_of "$FOLLOWER" 'request_[a-z]*' 3)
    [ "$(field_of "$line" t)" -ge "$resumed_ms" ] ||
        fail "resumed at $resumed_ms, but $line"
    [ "$(metric_of "$FOLLOWER" coltsfoot_loop_stalls_total)" -gt \
        "$before_stalls" ] || fail "no metric counts the stall"
}

check_times() {
    local node
    for node in "${CONTROL_NODES[@]}"; do
        ! grep '"t":0,' "$WORK/$node.out" || fail "$node: a line without time"
    done
}

WAIT_S=10
start_nodes_in_memory "${1:-build}"
wait_for "leader of three voters" find_leader
for FOLLOWER in "${CONTROL_NODES[@]}"; do
    [ "$FOLLOWER" = "$LEADER" ] || break
done
check_answered_order
check_redirected_order
check_order_at_suspended_node
check_times
echo "PASS: order trace"
