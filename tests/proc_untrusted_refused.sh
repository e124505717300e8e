#!/usr/bin/env bash
# Guards against refusals of bodies of the full legal size that are not true, or
# that name a time to try again which does not help: callers that follow it all
# get their jobs accepted.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/../platform/request.sh"
. "$(dirname "$0")/support_control.sh"
. "$(dirname "$0")/support_crowd.sh"
start_nodes_in_memory "$1"

# The entry VM has room for seven of the bodies.
CALLERS_COUNT=60
echo 'max_open_bytes: 2000000' >>"$WORK/edge-1.yaml"
kill_node edge-1
start_node edge-1
wait_for "leader at the entry VM" entry_is_ready
platform_large_job 250000 >"$WORK/full"

job_url() {
    entry_url "/jobs/$(printf 'd%015x' "$1")"
}

# submit NUMBER: submits a job and prints the status, or 000 without an answer.
submit() {
    curl -s --noproxy '*' -m 10 -D "$WORK/head-$1" -o /dev/null \
        -w '%{http_code}' -X POST -H 'Host: a.example' -H 'Expect:' \
        --data-binary "@$WORK/full" "$(job_url "$1")" || true
}

# retry_after NUMBER: prints the Retry-After of a caller's last answer.
retry_after() {
    awk 'tolower($1) == "retry-after:" { print $2 + 0 }' "$WORK/head-$1"
}

# read_job NUMBER: prints the status of an answer about a job.
read_job() {
    local status
    for _ in 1 2 3 4 5 6 7 8 9 10; do
        status=$(send_request -H 'Host: a.example' "$(job_url "$1")")
        [ "$status" != 200 ] && [ "$status" != $PLATFORM_NO_JOB ] || break
        sleep 0.5
    done
    echo "$status"
}

# Repeats a job as often as its refusals ask for.
submit_until_accepted() {
    local status end=$((SECONDS + 120))
    while [ $SECONDS -lt $end ]; do
        status=$(submit "$1")
        case $status in
        200) break ;;
        503) sleep "$(retry_after "$1")" ;;
        *) sleep 1 ;;
        esac
    done
    echo "$status" >"$WORK/final-$1"
}

# run_callers FUNCTION: calls it at once for each caller.
run_callers() {
    local i pids=()
    for ((i = 0; i < CALLERS_COUNT; i++)); do
        "$1" "$i" &
        pids+=($!)
    done
    wait "${pids[@]}"
}

submit_once() {
    submit "$1" >"$WORK/first-$1"
}

run_callers submit_once
wait_for "leader" find_leader
for ((i = 0; i < CALLERS_COUNT; i++)); do
    status=$(cat "$WORK/first-$i")
    known=$(read_job "$i")
    echo "caller $i: $status, then $known"
    case "$status $known" in
    "200 200" | "503 $PLATFORM_NO_JOB" | 000\ * | 504\ *) ;;
    *) CROWD_FAULTS+=("caller $i got $status, then the job is $known") ;;
    esac
    [ "$status" != 503 ] || [ "$(retry_after "$i")" -ge 1 ] ||
        CROWD_FAULTS+=("caller $i: 503 without a time to try again")
done
grep -qx 503 "$WORK"/first-* ||
    CROWD_FAULTS+=("no body was refused: the crowd does not reach the limit")

[ "$(submit 1000)" = 200 ] ||
    CROWD_FAULTS+=("a single full body is refused in calm")
run_callers submit_until_accepted
for ((i = 0; i < CALLERS_COUNT; i++)); do
    [ "$(cat "$WORK/final-$i")" = 200 ] && [ "$(read_job "$i")" = 200 ] ||
        CROWD_FAULTS+=("caller $i: $(cat "$WORK/final-$i") in the end")
done
check_crowds
