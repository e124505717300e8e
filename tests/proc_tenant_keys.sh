#!/usr/bin/env bash
# Guards against requests that run without a valid key, against valid keys that
# are refused after changes of the configuration, of the leader or of the entry
# VM, and against keys in lines, metrics or replies.
# Usage: proc_tenant_keys.sh [BUILD]
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

# Each key contains this text.
SECRET=s3cret

# ask EXPECTED KEY ARGS... PATH: sends a request through the entry VM, with no
# key if KEY is -, and fails if the status is not EXPECTED. Collects the bodies.
ask() {
    local expected=$1 key=$2 status header=()
    shift 2
    [ "$key" = - ] || header=(-H "$(platform_key_header "$key")")
    status=$(send_request -H 'Host: a.example' "${header[@]}" "${@:1:$#-1}" \
        "$(entry_url "${!#}")")
    cat "$WORK/body" >>"$WORK/bodies"
    [ "$status" = "$expected" ] ||
        fail "$PHASE: ${*} with key $key: $status, expected $expected"
}

# put_tenants EXPECTED VERSION KEYS_OF_A KEYS_OF_B
put_tenants() {
    local status
    platform_tenants "$2" a.example "$3" "$4" "${FIRST_TENANT:-a}" >"$WORK/config"
    status=$(send_request -X PUT --data-binary "@$WORK/config" \
        "$(control_url "$LEADER" "$PLATFORM_CONFIG_PATH")")
    cat "$WORK/body" >>"$WORK/bodies"
    [ "$status" = "$1" ] || fail "configuration $2: $status, expected $1"
}

# check_refused KEY: all four calls are refused, and a public queue is not.
check_refused() {
    ask 401 "$1" -X POST -d "$(platform_job 1)" "/jobs/$(new_id)"
    ask 401 "$1" -X POST -d "no job" "/jobs/$(new_id)"
    ask 401 "$1" /jobs/00000000000000a1
    ask 401 "$1" -X DELETE /jobs/00000000000000a1
    ask 401 "$1" /jobs/
    ask 404 "$1" /elsewhere/
    ask 200 "$1" -X POST -d "$(platform_job 1)" "/open/$(new_id)"
    ask 200 "$1" /open/
}

# check_accepted KEY: all four calls of tenant a are served.
check_accepted() {
    local id
    id=$(new_id)
    ask 200 "$1" -X POST -d "$(platform_job 1)" "/jobs/$id"
    ask 200 "$1" "/jobs/$id"
    ask 200 "$1" -X DELETE "/jobs/$id"
    ask 200 "$1" /jobs/
    ask 200 "$1" -X POST -d "$(platform_job 1)" /jobs/00000000000000a1
    ask 200 "$1" /jobs/00000000000000a1
    grep -q queued "$WORK/body" || fail "$PHASE: $(cat "$WORK/body")"
}

# check_other_tenant KEY: a job of tenant a is out of reach.
check_other_tenant() {
    ask 409 "$1" -X POST -d "$(platform_job 1)" /jobs/00000000000000a1
    ask 410 "$1" /jobs/00000000000000a1
    ask 410 "$1" -X DELETE /jobs/00000000000000a1
    ask 410 - -X DELETE /open/00000000000000a1
    ask 410 - /open/00000000000000a1
    ask 200 "$1" /jobs/0000000000000001
}

# check_keys PHASE: checks what the third version permits.
check_keys() {
    PHASE=$1
    check_accepted "$SECRET-a2"
    check_refused "$SECRET-a1"
    check_refused "$SECRET-never"
    check_refused -
    check_other_tenant "$SECRET-b1"
}

# new_id: prints an id that was not used before. Counts in a file, since it is
# called in subshells.
new_id() {
    echo x >>"$WORK/ids"
    printf 'b%015x\n' "$(wc -l <"$WORK/ids")"
}

check_malformed() {
    local body status
    while read -r body; do
        status=$(send_request -X PUT -d "$body" \
            "$(control_url "$LEADER" "$PLATFORM_CONFIG_PATH")")
        cat "$WORK/body" >>"$WORK/bodies"
        [ "$status" = 400 ] || fail "malformed configuration: $status"
    done < <(platform_malformed_tenants "$SECRET")
}

# put_moving VERSION: stores a version in which the first tenant is named a if
# the version is even, and c otherwise. Its key remains.
put_moving() {
    local FIRST_TENANT=a
    [ $(($1 % 2)) -eq 0 ] || FIRST_TENANT=c
    put_tenants 200 "$1" "\"$SECRET-a2\",\"$SECRET-m\"" "\"$SECRET-b1\""
}

# submit_many FIRST: submits 40 jobs with the moving key.
submit_many() {
    local i
    for ((i = 0; i < 40; i++)); do
        curl -s --noproxy '*' -m 5 -o /dev/null -w '%{http_code}\n' \
            -H 'Host: a.example' -H "$(platform_key_header "$SECRET-m")" \
            -d "$(platform_job 1)" \
            "$(entry_url "/jobs/$(printf 'c%015x' $(($1 + i)))")"
    done
}

# A key that is valid all the time is never refused, although its tenant may be
# gone between the check of a submission and its place in the log.
check_moving_key() {
    local i callers=()
    PHASE="key moves"
    put_moving 10
    for ((i = 0; i < 6; i++)); do
        submit_many $((i * 100)) >"$WORK/moving-$i" &
        callers+=($!)
    done
    for ((i = 11; i <= 50; i++)); do put_moving "$i"; done
    for i in "${callers[@]}"; do wait "$i" || true; done
    sort "$WORK"/moving-* | uniq -c >"$WORK/moving"
    grep -qE '^ *240 200$' "$WORK/moving" ||
        fail "submissions with a valid key: $(cat "$WORK/moving")"
    put_tenants 200 51 "\"$SECRET-a2\"" "\"$SECRET-b1\""
}

check_trace() {
    [ "$(leader_metric coltsfoot_requests_denied_total)" -gt 0 ] ||
        fail "no metric counts denied requests"
    wait_for "line of a denied request" grep -q \
        '"event":"request_answered".*"id":"00000000000000a1".*"denial"' \
        "$WORK/core-1.out" "$WORK/core-2.out" "$WORK/core-3.out"
}

# All output but the data folders and the configurations that were sent.
check_secrecy() {
    local node
    for node in "${CONTROL_NODES[@]}"; do
        curl -s --noproxy '*' -m 1 \
            "http://$(host_of "$node"):$((BASE_PORT + 4))/metrics" \
            >>"$WORK/pages" || true
    done
    grep -q '^coltsfoot_requests_denied_total' "$WORK/pages" ||
        fail "no metrics page"
    if grep -l "$SECRET" "$WORK"/*.out "$WORK"/*.log "$WORK/bodies" \
        "$WORK/pages"; then
        fail "the files above contain a key"
    fi
}

start_nodes_in_memory "${1:-build}"
PHASE="no tenants"
ask 200 - -X POST -d "$(platform_job 1)" /jobs/0000000000000001
put_tenants 200 2 "\"$SECRET-a1\"" "\"$SECRET-b1\""
PHASE="first keys"
check_accepted "$SECRET-a1"
check_refused "$SECRET-a2"
check_other_tenant "$SECRET-b1"
put_tenants 200 3 "\"$SECRET-a2\"" "\"$SECRET-b1\""
check_keys "keys changed"
check_moving_key
put_tenants 400 52 "\"$SECRET-a2\"" "\"$SECRET-a2\""
check_malformed
check_trace

kill_node "$LEADER"
killed=$LEADER
PEERS_UP=2 wait_for "another leader" find_leader
wait_for "leader at the entry VM" entry_is_ready
check_keys "leader killed"
start_control_node "$killed" true
PEERS_UP=3 wait_for "the killed node" find_leader

for node in "${CONTROL_NODES[@]}"; do kill_node "$node"; done
for node in "${CONTROL_NODES[@]}"; do start_control_node "$node" true; done
wait_for "leader after the restart of all" find_leader
wait_for "leader at the entry VM" entry_is_ready
check_keys "control VMs restarted"

kill_node edge-1
start_entry_node
wait_for "leader at the entry VM" entry_is_ready
check_keys "entry VM restarted"
check_trace
check_secrecy
echo "keys are honoured at the entry VM and are in no output"
