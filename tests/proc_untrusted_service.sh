#!/usr/bin/env bash
# Guards against an entry VM of the request service whose memory is taken by
# bodies that wait, run or have been given up, by answers that are not read, or
# that is kept busy by one long document.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/support_crowd.sh"
setup_run "$1"
start_standard_cluster

# A node has 128 MB, and each VM 4,100 descriptors.
MAX_KB=$((128 * 1024))
MAX_DESCRIPTORS=3840

# A service whose targets have 384 slots, so that many bodies are in flight.
submit_patch --request-id bulk --set services/bulk/pool=bulk \
    --set pools/bulk/max_unavailable=2 >/dev/null
start_targets bulk bulk north $((BASE_PORT + 33)) 48 --run-from-body \
    --answer-bytes 1000000
wait_for "registration of 48 VMs" pool_has_vms bulk 48

ordinary_request() {
    "$BUILD/standin-caller" --to "${TRAFFIC[north-1]}" --service booking \
        --requests 4 | grep -q '"done":4'
}

# An ordinary request, and the node still has a part in the cluster.
status_and_request() {
    "$BUILD/coltsfoot" status --to "${CONTROL[north-1]}" >/dev/null 2>&1 &&
        ordinary_request
}

BULK=(--path /v1/services/bulk/requests)

# play TEXT ARGS...: a crowd of callers.
play() {
    local text=$1
    shift
    play_crowd "$text" north-1 $MAX_KB $MAX_DESCRIPTORS ordinary_request \
        --to "${TRAFFIC[north-1]}" --header "Coltsfoot-Caller: crowd" \
        --header "Coltsfoot-Request-Id: ################" "$@"
}

{
    printf 'run_us=60000000;'
    head -c 1000000 /dev/zero | tr '\0' x
} >"$WORK/long"
{
    printf 'run_us=1000;'
    head -c 1000000 /dev/zero | tr '\0' x
} >"$WORK/short"

play "bodies that stop short" "${BULK[@]}" --shape announced --count 400 --bytes 1000000
play "chunks without end" "${BULK[@]}" --shape chunked --count 300 --bytes 4000000 \
    --chunk 65536
play "answers not read" "${BULK[@]}" --shape announced --count 400 --body "$WORK/short" \
    --unread
play "requests again and again" "${BULK[@]}" --shape announced --count 100 \
    --body "$WORK/short" --rounds 10
play "bodies that wait for slots" "${BULK[@]}" --shape announced --count 400 \
    --body "$WORK/long" --header "Coltsfoot-Deadline-Ms: 8000"
play "large answers, not read" "${BULK[@]}" --shape announced --count 900 \
    --bytes 100 --announce 100 --unread
play "large answers" "${BULK[@]}" --shape announced --count 900 --bytes 100 \
    --announce 100 --rounds 3
# Attempts on targets that are suspended go on after their callers have been
# answered.
send_signal bulk STOP
play "bodies of ended requests" "${BULK[@]}" --shape announced --count 12 \
    --rounds 400 --settle-ms 20000 --body "$WORK/long" \
    --header "Coltsfoot-Deadline-Ms: 400" \
    --header "Coltsfoot-Forwarded: x" --header "Coltsfoot-Single-Attempt: 1"
send_signal bulk CONT
play "headers without end" --shape headers --count 900 --bytes 15000
play "pipelined requests" --shape requests --method GET --path /readyz \
    --count 100 --pipeline 2000

# play_control TEXT ARGS...: a crowd at the address of operators.
play_control() {
    local text=$1
    shift
    play_crowd "$text" north-1 $MAX_KB $MAX_DESCRIPTORS status_and_request \
        --to "${CONTROL[north-1]}" --path /v1/patch "$@"
}

awk 'BEGIN { for (i = 0; i < 105000; i++) printf "%x: 1\n", i }' \
    >"$WORK/keys"
play_control "patch of many keys" --shape announced --count 2 \
    --body "$WORK/keys"
{
    printf 'a: ['
    awk 'BEGIN { for (i = 0; i < 520000; i++) printf "1," }'
    printf '1]\n'
} >"$WORK/items"
play_control "patch of many items" --shape announced --count 8 \
    --body "$WORK/items"
head -c 1040000 /dev/zero | tr '\0' '[' >"$WORK/nested"
play_control "patch of nested lists" --shape announced --count 8 \
    --body "$WORK/nested"
play_control "patches that stop short" --shape announced --count 300 \
    --bytes 1000000
check_crowds
