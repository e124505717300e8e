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

# Without a leader an answer is a refusal that names a time to try again.
is_refused() {
    local url status
    url=$(entry_url "/jobs/$(printf 'f%015x' $((NEXT_JOB++)))")
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

write_relay_settings
start_node relay
PEERS_UP=4

# The longest documents that a relay forwards; longer ones are redirected.
head -c 64000 /dev/zero | tr '\0' ' ' >"$WORK/document"

relay_refuses() {
    local status
    status=$(curl -s --noproxy '*' -m 5 -D "$WORK/head" -o /dev/null \
        -w '%{http_code}' "http://127.0.0.5:$((BASE_PORT + 1))$PLATFORM_CONFIG_PATH")
    [ "$status" = 503 ] && grep -qi '^Retry-After: [1-9]' "$WORK/head"
}

play_relay() {
    local text=$1 request=$2
    shift 2
    play_crowd "$text" relay $MAX_KB $MAX_DESCRIPTORS "$request" \
        --to "127.0.0.5:$((BASE_PORT + 1))" --shape announced --method PUT \
        --path "$PLATFORM_CONFIG_PATH" --count 300 --body "$WORK/document" \
        --rounds 10
}

platform_expanding_job 87000 >"$WORK/job"
wait_for "leader" find_leader
wait_for "answers of the relay" relay_answers
play "calm" submit_job --rounds 4
play_relay "relay, calm" relay_answers
wait_for "leader" find_leader
paused=$LEADER
send_signal "$paused" STOP
play "leader suspended" submit_job --rounds 4
wait_for "next leader" eval 'PEERS_UP=3 find_leader'
send_signal "$paused" CONT
send_signal "$LEADER" STOP
play "next leader suspended" submit_job --rounds 4
play_relay "relay, next leader suspended" relay_answers
send_signal "$LEADER" CONT
for node in "${CONTROL_NODES[@]}"; do send_signal "$node" STOP; done
play "all control VMs suspended" is_refused --rounds 4
play_relay "relay, all control VMs suspended" relay_refuses
for node in "${CONTROL_NODES[@]}"; do send_signal "$node" CONT; done
wait_for "leader" find_leader
for node in "${CONTROL_NODES[@]}"; do kill_node "$node"; done
play "no control VM" is_refused --rounds 4
play_relay "relay, no control VM" relay_refuses
for node in "${CONTROL_NODES[@]}"; do start_node "$node"; done
wait_for "leader" find_leader
wait_for "leader at the entry VM" entry_is_ready
wait_for "an accepted job" submit_job
check_crowds
