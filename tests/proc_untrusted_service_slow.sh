#!/usr/bin/env bash
# Guards against clients of the request service that go on in small steps or
# come again at once, one crowd after the other, and all of them beside nodes
# that are killed, suspended or have a full disk.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/support_crowd.sh"
# Writes to a full disk fail without a signal.
trap '' XFSZ
setup_run "$1"
start_standard_cluster

# Bounds as in proc_untrusted_service.
MAX_KB=$((128 * 1024))
MAX_DESCRIPTORS=3840

ordinary_request() {
    "$BUILD/standin-caller" --to "${TRAFFIC[$NODE]}" --service booking \
        --requests 4 | grep -q '"done":4'
}

status_and_request() {
    "$BUILD/coltsfoot" status --to "${CONTROL[$NODE]}" >/dev/null 2>&1 &&
        ordinary_request
}

peer_address() {
    sed -n 's/^peer: //p' "$WORK/$1.yaml" | head -n 1
}

NODE=north-1
SLOW=(--piece 1 --pause-ms 50 --settle-ms 4000 --rounds 1000)
CALLER=(--header "Coltsfoot-Caller: crowd"
    --header "Coltsfoot-Request-Id: ################")
play() {
    local text=$1
    shift
    play_crowd "$text" $NODE $MAX_KB $MAX_DESCRIPTORS status_and_request "$@"
}

# play_role TEXT ARGS...: a crowd of callers, then one of operators.
play_role() {
    local text=$1
    shift
    play "$text, callers" --to "${TRAFFIC[$NODE]}" "${CALLER[@]}" \
        --path /v1/services/booking/requests "$@"
    play "$text, operators" --to "${CONTROL[$NODE]}" --path /v1/patch "$@"
}

play_role "bodies, byte by byte" --shape announced --count 600 --bytes 260000 \
    "${SLOW[@]}"
play_role "chunks, byte by byte" --shape chunked --count 600 --bytes 260000 \
    --chunk 1 "${SLOW[@]}"
play_role "headers, byte by byte" --shape headers --count 600 --bytes 15000 \
    "${SLOW[@]}"
play_role "trailers without end" --shape trailers --count 300 --bytes 400000
play_role "long chunk extensions" --shape extensions --count 300 --bytes 400000
play_role "junk" --shape raw --count 300 --bytes 100000
play_role "requests refused again and again" --shape announced --count 200 \
    --bytes 6000000 --rounds 20
play_role "pipelined requests, read" --shape announced --bytes 100 \
    --announce 100 --count 50 --pipeline 200
# A frame of a peer begins with its length. These announce 3 MB and stop short.
{
    printf '\x00\x30\x00\x00'
    head -c 3000000 /dev/zero
} >"$WORK/frame"
play "frames that stop short, peers" --to "$(peer_address $NODE)" --shape raw \
    --count 100 --body "$WORK/frame"
play "connections without a byte, peers" --to "$(peer_address $NODE)" \
    --shape start --bytes 0 --count 700

# A body of the full legal size beside a crowd that fills max_open_bytes, and in
# calm.
next_request=1
full_request() {
    [ "$(curl -s --noproxy '*' -m 10 -o /dev/null -w '%{http_code}' \
        -H 'Expect:' -H 'Coltsfoot-Caller: full' \
        -H "Coltsfoot-Request-Id: $((next_request++))" \
        --data-binary "@$WORK/full" \
        "http://${TRAFFIC[$NODE]}/v1/services/booking/requests")" = 200 ]
}

{
    printf 'run_us=1000;'
    head -c 1000000 /dev/zero | tr '\0' x
} >"$WORK/full"
start_crowd "full bodies that stop short" --to "${TRAFFIC[$NODE]}" \
    "${CALLER[@]}" --path /v1/services/booking/requests --shape announced \
    --count 400 --bytes 999999 --announce 1000000
check_answer "full body beside full bodies that stop short" full_request
stop_crowd
start_crowd "full bodies" --to "${TRAFFIC[$NODE]}" "${CALLER[@]}" \
    --path /v1/services/booking/requests --shape announced --count 100 \
    --body "$WORK/full" --rounds 100 --settle-ms 2000
check_answer "full body beside full bodies" full_request
stop_crowd
check_answer "full body in calm" full_request
check_node "full bodies" $NODE $MAX_KB $MAX_DESCRIPTORS

# check_nodes TEXT: the crowd goes on for a while, then each node is checked.
check_nodes() {
    sleep 3
    for NODE in "${ENTRIES[@]}"; do
        check_answer "$1, $NODE" status_and_request
        check_bounds "$1" "$NODE" $MAX_KB $MAX_DESCRIPTORS
        echo 5 >"/proc/${PID[$NODE]}/clear_refs"
    done
}

{
    printf 'run_us=1000;'
    head -c 200000 /dev/zero | tr '\0' x
} >"$WORK/body"
for name in "${ENTRIES[@]}"; do
    echo 5 >"/proc/${PID[$name]}/clear_refs"
    callers=(--to "${TRAFFIC[$name]}" "${CALLER[@]}"
        --path /v1/services/booking/requests)
    add_crowd "${callers[@]}" --shape announced --count 20 --body "$WORK/body"
    add_crowd "${callers[@]}" --shape chunked --count 100 --bytes 900000 \
        --chunk 1000
    add_crowd --to "${CONTROL[$name]}" --path /v1/patch --shape announced \
        --count 100 --bytes 900000 --piece 50000 --pause-ms 50
    add_crowd --to "$(peer_address "$name")" --shape raw --count 50 \
        --bytes 100000
done
check_nodes "calm"

kill_process north-1
start_entry north-1
wait_for "readiness of north-1" is_ready north-1
check_nodes "node killed"

send_signal north-2 STOP
sleep 6
send_signal north-2 CONT
wait_for "readiness of north-2" is_ready north-2
check_nodes "node suspended"

prlimit --pid "${PID[south-1]}" --fsize=1:unlimited
sleep 2
NODE=north-1
check_answer "full disk" ordinary_request
kill -KILL "${PID[south-1]}" 2>/dev/null || true
wait "${PID[south-1]}" 2>/dev/null || true
start_entry south-1
wait_for "readiness of south-1" is_ready south-1
check_nodes "full disk"

end_crowds
for NODE in "${ENTRIES[@]}"; do check_rest "after all" "$NODE"; done
check_crowds
