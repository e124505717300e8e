#!/usr/bin/env bash
# Guards against clients of the addresses beside the main ones: peers, health
# checks and scrapes, one by one and all at once.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/../platform/request.sh"
. "$(dirname "$0")/support_control.sh"
. "$(dirname "$0")/support_crowd.sh"
start_nodes_in_memory "$1"

# Bounds as in the tests of the main addresses.
MAX_KB=$((128 * 1024))
MAX_ENTRY_KB=$((80 * 1024))
MAX_DESCRIPTORS=3840
# What a crowd may add to the log of a process on standard error.
MAX_LOG_BYTES=65536

scrape() {
    [ "$(send_request "http://$(host_of "$LEADER"):$((BASE_PORT + 4))/metrics")" \
        = 200 ]
}

play_entry() {
    local text=$1 request=$2 port=$3
    shift 3
    play_crowd "$text" edge-1 $MAX_ENTRY_KB $MAX_DESCRIPTORS "$request" \
        --to "127.0.0.5:$((BASE_PORT + port))" "$@"
}

play_leader() {
    local text=$1 request=$2 port=$3
    shift 3
    wait_for "leader" find_leader
    play_crowd "$text" "$LEADER" $MAX_KB $MAX_DESCRIPTORS "$request" \
        --to "$(host_of "$LEADER"):$((BASE_PORT + port))" "$@"
}

# A frame of a peer begins with its length. These announce 3 MB and stop short.
printf '\x00\x30\x00\x00' >"$WORK/frame"
head -c 3000000 /dev/zero >>"$WORK/frame"
for role in entry leader; do
    play_$role "frames that stop short, $role" submit_job 0 --shape raw \
        --count 100 --body "$WORK/frame"
    play_$role "connections without a byte, $role" submit_job 0 \
        --shape start --bytes 0 --count 700
done
# check_log TEXT NODE BYTES: checks what the log has grown by from BYTES on.
check_log() {
    local bytes
    bytes=$(($(stat -c %s "$WORK/$2.log") - $3))
    echo "$1: $bytes bytes of log"
    [ $bytes -le $MAX_LOG_BYTES ] ||
        CROWD_FAULTS+=("$1: $bytes bytes of log, bound $MAX_LOG_BYTES")
}

# Links that are refused for their first bytes, and come again at once.
printf '\xff\xff\xff\xff\x00\x00\x00' >"$WORK/overlong"
printf '\x00\x00\x00\x03\x92\x01\x01' >"$WORK/hello"
# A list that announces 16,777,215 items, and a refusal as the first message.
printf '\x00\x00\x00\x05\xdd\x00\xff\xff\xff' >"$WORK/expanding"
printf '\x00\x00\x00\x03\x92\x02\x01' >"$WORK/refusal"
for role in entry leader; do
    wait_for "leader" find_leader
    node=edge-1
    [ $role = entry ] || node=$LEADER
    for kind in overlong hello expanding refusal; do
        bytes=$(stat -c %s "$WORK/$node.log")
        play_$role "links refused again and again, $kind, $role" submit_job 0 \
            --shape raw --body "$WORK/$kind" \
            --bytes "$(stat -c %s "$WORK/$kind")" --count 100 --rounds 200
        check_log "links refused again and again, $kind, $role" $node "$bytes"
    done
done
play_entry "health checks, unread" entry_is_ready 3 --shape requests \
    --count 700 --method GET --path "$PLATFORM_READY_PATH"
play_entry "health checks, pipelined" entry_is_ready 3 --shape requests \
    --count 100 --method GET --path "$PLATFORM_READY_PATH" --pipeline 2000
play_entry "health checks with bodies" entry_is_ready 3 --shape chunked \
    --count 700 --bytes 900000 --chunk 1000 --path "$PLATFORM_READY_PATH"
play_leader "scrapes, unread" scrape 4 --shape requests --count 700 \
    --method GET --path /metrics --pipeline 50
play_leader "scrapes without end" scrape 4 --shape headers --count 700 \
    --bytes 15000 --path /metrics

# While silent connections stay at the peer addresses, and come again at once
# when they are closed, a node that starts again finds the others.
wait_for "leader" find_leader
for host in 127.0.0.2 127.0.0.3 127.0.0.4 127.0.0.5; do
    start_crowd "silent at $host" --to "$host:$BASE_PORT" --shape start \
        --bytes 0 --count 600 --rounds 1000000 --settle-ms 3000
    PID[crowd-$host]=${PID[crowd]}
done
unset "PID[crowd]"
kill_node "$LEADER"
start_node "$LEADER"
wait_for "leader of three voters beside silent connections" find_leader
wait_for "leader at the entry VM" entry_is_ready
wait_for "an accepted job beside silent connections" submit_job
for node in "${CONTROL_NODES[@]}"; do
    check_node "silent connections" "$node" $MAX_KB $MAX_DESCRIPTORS
done
for host in 127.0.0.2 127.0.0.3 127.0.0.4 127.0.0.5; do
    PID[crowd]=${PID[crowd-$host]}
    unset "PID[crowd-$host]"
    stop_crowd
done
check_crowds
