#!/usr/bin/env bash
# Guards against an entry VM whose memory or descriptors are taken by clients
# that stop within a request or never read, so that it ends or no longer
# answers others.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/../platform/request.sh"
. "$(dirname "$0")/support_control.sh"
. "$(dirname "$0")/support_crowd.sh"
start_nodes_in_memory "$1"

# A small entry VM has 160 MB, which the entry process and its relay share, so
# that each has 80 MB at most.
MAX_KB=$((80 * 1024))
# A VM has 4,100 descriptors. The tests with many connections scale this and
# the crowd by 1/16: 256 descriptors, of which the 16 that remain keep links to
# peers, the readiness check and the log.
DESCRIPTORS=4100
MAX_DESCRIPTORS=3844
FEW_DESCRIPTORS=256
MAX_FEW_DESCRIPTORS=240

restart_entry() {
    send_signal edge-1 KILL
    wait_for_end edge-1
    start_limited_node edge-1 "$1"
    wait_for "leader at the entry VM" entry_is_ready
    wait_for "an accepted job" submit_job
}

# play TEXT ARGS...: a crowd whose bodies or answers take memory.
play() {
    local text=$1
    shift
    restart_entry $DESCRIPTORS
    play_crowd "$text" edge-1 $MAX_KB $MAX_DESCRIPTORS submit_job \
        --to "127.0.0.5:$((BASE_PORT + 2))" "$@"
}

# play_many TEXT ARGS...: a crowd of more connections than descriptors.
play_many() {
    local text=$1
    shift
    restart_entry $FEW_DESCRIPTORS
    play_crowd "$text" edge-1 $MAX_KB $MAX_FEW_DESCRIPTORS submit_job \
        --to "127.0.0.5:$((BASE_PORT + 2))" "$@"
}

play "legal announced bodies" --shape announced --count 600 --bytes 260000
play "legal bodies in pieces" --shape announced --count 600 --bytes 260000 \
    --piece 20000 --pause-ms 20
play "legal bodies, whole" --shape announced --count 600 --bytes 260000 \
    --announce 260000
play "announced bodies of 1 MB" --shape announced --count 300 --bytes 1000000
play "one chunk of 1 MB" --shape chunked --count 300 --bytes 1000000 \
    --chunk 1000000
play "chunks of one byte" --shape chunked --count 600 --bytes 260000 --chunk 1
play "chunks without end" --shape chunked --count 300 --bytes 4000000 \
    --chunk 65536
play "far over the limit, announced" --shape announced --count 300 \
    --bytes 900000 --announce 64000000
play "headers without end" --shape headers --count 900 --bytes 15000
play_many "ten bytes" --shape start --count 400 --bytes 10
play_many "nothing" --shape start --count 400 --bytes 0
play_many "headers without end" --shape headers --count 400 --bytes 15000
play_many "answers not read" --shape requests --count 400 --method GET
check_crowds
