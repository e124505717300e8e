#!/usr/bin/env bash
# Guards against a relay, an entry VM with only a control address, whose memory
# or descriptors are taken by clients that stop within a request.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/../platform/request.sh"
. "$(dirname "$0")/support_control.sh"
. "$(dirname "$0")/support_crowd.sh"
start_nodes_in_memory "$1"

# The relay shares the 160 MB of a small entry VM with the entry process.
MAX_KB=$((80 * 1024))
# 1/16 of the 4,100 descriptors of a VM, of which 16 remain for links to peers.
FEW_DESCRIPTORS=256
MAX_FEW_DESCRIPTORS=240
MAX_DESCRIPTORS=3844

write_relay_settings

# play TEXT DESCRIPTORS BOUND ARGS...: plays a crowd against a new relay.
play() {
    local text=$1 descriptors=$2 bound=$3
    shift 3
    if [ -n "${PID[relay]:-}" ]; then
        send_signal relay KILL
        wait_for_end relay
    fi
    start_limited_node relay "$descriptors"
    wait_for "answers of the relay" relay_answers
    play_crowd "$text" relay $MAX_KB "$bound" relay_answers \
        --to "127.0.0.5:$((BASE_PORT + 1))" --method PUT \
        --path "$PLATFORM_CONFIG_PATH" "$@"
}

play "legal documents" 4100 $MAX_DESCRIPTORS --shape announced --count 60 \
    --bytes 4000000
play "legal documents, whole" 4100 $MAX_DESCRIPTORS --shape announced \
    --count 60 --bytes 4000000 --announce 4000000
play "chunked documents" 4100 $MAX_DESCRIPTORS --shape chunked --count 60 \
    --bytes 4000000 --chunk 65536
play "chunks without end" 4100 $MAX_DESCRIPTORS --shape chunked --count 60 \
    --bytes 16000000 --chunk 65536
play "far over the limit, announced" 4100 $MAX_DESCRIPTORS --shape announced \
    --count 60 --bytes 4000000 --announce 64000000
play "ten bytes" $FEW_DESCRIPTORS $MAX_FEW_DESCRIPTORS --shape start \
    --count 400 --bytes 10
play "headers without end" $FEW_DESCRIPTORS $MAX_FEW_DESCRIPTORS \
    --shape headers --count 400 --bytes 15000
check_crowds
