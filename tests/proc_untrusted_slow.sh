#!/usr/bin/env bash
# Guards against clients of the job service that go on in small steps, come
# again at once, or send many requests on one connection.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/../platform/request.sh"
. "$(dirname "$0")/support_control.sh"
. "$(dirname "$0")/support_crowd.sh"
start_nodes_in_memory "$1"

# Bounds as in the tests of the single addresses.
MAX_KB=$((80 * 1024))
MAX_CONTROL_KB=$((128 * 1024))
MAX_DESCRIPTORS=3840

# A body of the full legal size.
submit_full_job() {
    local url
    url=$(entry_url "/jobs/$(printf 'e%015x' $((NEXT_JOB++)))")
    [ "$(send_request -X POST -H 'Host: a.example' -H 'Expect:' \
        --data-binary "@$WORK/full" "$url")" = 200 ]
}

play() {
    local text=$1
    shift
    play_crowd "$text" edge-1 $MAX_KB $MAX_DESCRIPTORS submit_job \
        --to "127.0.0.5:$((BASE_PORT + 2))" "$@"
}

play_control() {
    local text=$1
    shift
    wait_for "leader" find_leader
    play_crowd "$text" "$LEADER" $MAX_CONTROL_KB $MAX_DESCRIPTORS read_config \
        --to "$(host_of "$LEADER"):$((BASE_PORT + 1))" \
        "$@"
}

platform_large_job 250000 >"$WORK/full"
wait_for "an accepted job of the full size" submit_full_job

# Clients that are closed come again at once.
SLOW=(--piece 1 --pause-ms 50 --settle-ms 4000 --rounds 1000)
for role in play play_control; do
    path=(--path "/jobs/0000000000000001")
    [ $role = play ] || path=(--path "$PLATFORM_CONFIG_PATH")
    $role "bodies, byte by byte" "${path[@]}" --shape announced --count 600 \
        --bytes 260000 "${SLOW[@]}"
    $role "chunks, byte by byte" "${path[@]}" --shape chunked --count 600 \
        --bytes 260000 --chunk 1 "${SLOW[@]}"
    $role "headers, byte by byte" "${path[@]}" --shape headers --count 600 \
        --bytes 15000 "${SLOW[@]}"
    $role "bodies that go on slowly" "${path[@]}" --shape announced --count 300 \
        --bytes 260000 --piece 20000 --pause-ms 900 --settle-ms 8000
    $role "trailers without end" "${path[@]}" --shape trailers --count 300 --bytes 400000
    $role "long chunk extensions" "${path[@]}" --shape extensions --count 300 \
        --bytes 400000
    $role "junk" --shape raw --count 300 --bytes 100000
    $role "requests refused again and again" "${path[@]}" --shape announced --count 200 \
        --bytes 6000000 --rounds 20
    $role "connections again and again" --shape raw --count 200 --bytes 100 \
        --rounds 50
    $role "pipelined requests" --shape requests --method GET --count 100 \
        --pipeline 2000 "${path[@]}"
    $role "pipelined requests, read" --shape announced --bytes 100 \
        --announce 100 --count 50 --pipeline 200 "${path[@]}"
done

# Beside a crowd that fills the bytes of open bodies, and at once after it.
start_crowd "full bodies" --to "127.0.0.5:$((BASE_PORT + 2))" \
    --shape announced --count 300 --bytes 249999 --announce 250000
check_answer "full body beside full bodies that stop short" submit_full_job
stop_crowd
start_crowd "full bodies" --to "127.0.0.5:$((BASE_PORT + 2))" \
    --shape announced --count 300 --rounds 30 --body "$WORK/full" \
    --path "/jobs/################" --settle-ms 2000
check_answer "full body beside full bodies" submit_full_job
stop_crowd
wait_for "leader" find_leader
check_answer "full body in calm" submit_full_job
check_crowds
