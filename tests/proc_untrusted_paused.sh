#!/usr/bin/env bash
# Guards against an entry VM or a relay that keeps too many copies of bodies
# while the leader, or every control VM, is suspended or gone.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/../platform/request.sh"
. "$(dirname "$0")/support_control.sh"
. "$(dirname "$0")/support_crowd.sh"
start_nodes_in_memory "$1"

# A small entry VM has 160 MB, which the entry process and its relay share.
MAX_KB=$((80 * 1024))
MAX_DESCRIPTORS=3844

next_job=1
submit_job() {
    local url
    url=$(entry_url "/jobs/$(printf 'f%015x' $((next_job++)))")
    [ "$(send_request -X POST -H 'Host: a.example' -d "$(platform_job 1)" \
        "$url")" = 200 ]
}

# Without a leader an answer is a refusal that names a time to try again.
is_refused() {
    local url status
    url=$(entry_url "/jobs/$(printf 'f%015x' $((next_job++)))")
    status=$(curl -s --noproxy '*' -m 5 -D "$WORK/head" -o /dev/null \
        -w '%{http_code}' -X POST -H 'Host: a.example' \
        -d "$(platform_job 1)" "$url")
    [ "$status" = 504 ] ||
        { [ "$status" = 503 ] && grep -qi '^Retry-After: [1-9]' "$WORK/head"; }
}

play() {
    local text=$1 request=$2
    shift 2
    play_crowd "$text" edge-1 $MAX_KB $MAX_DESCRIPTORS "$request" \
        --to "127.0.0.5:$((BASE_PORT + 2))" --shape announced --count 300 \
        --path "/jobs/################" --body "$WORK/job" "$@"
}

platform_expanding_job 87000 >"$WORK/job"
play "calm" submit_job --rounds 4
wait_for "leader" find_leader
paused=$LEADER
send_signal "$paused" STOP
play "leader suspended" submit_job --rounds 4
wait_for "next leader" eval 'PEERS_UP=2 find_leader'
send_signal "$paused" CONT
send_signal "$LEADER" STOP
play "next leader suspended" submit_job --rounds 4
send_signal "$LEADER" CONT
for node in "${CONTROL_NODES[@]}"; do send_signal "$node" STOP; done
play "all control VMs suspended" is_refused --rounds 4
for node in "${CONTROL_NODES[@]}"; do send_signal "$node" CONT; done
wait_for "leader" find_leader
for node in "${CONTROL_NODES[@]}"; do kill_node "$node"; done
play "no control VM" is_refused --rounds 4
for node in "${CONTROL_NODES[@]}"; do start_node "$node"; done
wait_for "leader" find_leader
wait_for "leader at the entry VM" entry_is_ready
wait_for "an accepted job" submit_job
check_crowds
