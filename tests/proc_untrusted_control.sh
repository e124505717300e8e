#!/usr/bin/env bash
# Guards against a control VM whose memory or descriptors are taken by clients
# of its control address that stop within a request or never read.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/../platform/request.sh"
. "$(dirname "$0")/support_control.sh"
. "$(dirname "$0")/support_crowd.sh"
start_nodes_in_memory "$1"

# The smallest control VM has 256 MB, half of which is for the state, the log
# and snapshots.
MAX_KB=$((128 * 1024))
# 1/16 of the 4,096 descriptors of a control VM, of which 16 remain for peers
# and targets.
FEW_DESCRIPTORS=256
MAX_FEW_DESCRIPTORS=240
MAX_DESCRIPTORS=3840

# A long configuration, as a slow reader of answers holds a copy of it.
platform_config_of 2 2000 >"$WORK/config"
store_config() {
    [ "$(send_request -X PUT --data-binary "@$WORK/config" \
        "$(control_url "$LEADER" "$PLATFORM_CONFIG_PATH")")" = 200 ]
}
wait_for "the long configuration" store_config

leader_answers() {
    [ "$(send_request "$(control_url "$LEADER" "$PLATFORM_CONFIG_PATH")")" \
        = 200 ]
}

# play TEXT DESCRIPTORS BOUND ARGS...: plays a crowd against the leader.
play() {
    local text=$1 descriptors=$2 bound=$3
    shift 3
    wait_for "leader" find_leader
    prlimit --pid "${PID[$LEADER]}" --nofile="$descriptors:$(ulimit -Hn)"
    play_crowd "$text" "$LEADER" $MAX_KB "$bound" leader_answers \
        --to "$(host_of "$LEADER"):$((BASE_PORT + 1))" \
        --path "$PLATFORM_CONFIG_PATH" "$@"
}

play "answers not read" 4096 $MAX_DESCRIPTORS --shape requests --count 600 \
    --method GET
play "legal documents" 4096 $MAX_DESCRIPTORS --shape announced --count 60 \
    --bytes 4000000 --method PUT
play "legal documents, whole" 4096 $MAX_DESCRIPTORS --shape announced \
    --count 60 --bytes 4000000 --announce 4000000 --method PUT
play "chunked documents" 4096 $MAX_DESCRIPTORS --shape chunked --count 60 \
    --bytes 4000000 --chunk 65536 --method PUT
play "chunks without end" 4096 $MAX_DESCRIPTORS --shape chunked --count 60 \
    --bytes 16000000 --chunk 65536 --method PUT

# Each control VM starts again with few descriptors.
for node in "${CONTROL_NODES[@]}"; do
    kill_node "$node"
    start_limited_node "$node" $FEW_DESCRIPTORS
    wait_for "leader" find_leader
done
play "ten bytes" $FEW_DESCRIPTORS $MAX_FEW_DESCRIPTORS --shape start \
    --count 400 --bytes 10
play "headers without end" $FEW_DESCRIPTORS $MAX_FEW_DESCRIPTORS \
    --shape headers --count 400 --bytes 15000
check_crowds
