#!/usr/bin/env bash
# Guards against a job that is accepted and runs after its caller was told at
# its cancellation that it does not exist.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

# send_job_request ARGS...: sends a request for the job through edge-2.
send_job_request() {
    send_request -H 'Host: a.example' "$@" \
        "http://127.0.0.1:$((BASE_PORT + 2))/jobs/00000000000000a1"
}

# The second entry VM is ready once it answers for the leader.
second_entry_answers() {
    [ "$(send_job_request)" = 410 ]
}

start_nodes_in_memory "${1:-build}"
sed 's/edge-1/edge-2/; s/127\.0\.0\.5/127.0.0.1/' "$WORK/edge-1.yaml" \
    >"$WORK/edge-2.yaml"
start_node edge-2
wait_for "leader at the second entry VM" second_entry_answers

kill -STOP "${PID[edge-1]}"
curl -s --noproxy '*' -m 20 -o /dev/null -w '%{http_code}' \
    -H 'Host: a.example' -d "$(platform_job 1)" \
    "$(entry_url /jobs/00000000000000a1)" >"$WORK/submitted" &
caller=$!
sleep 0.5
cancelled=$(send_job_request -X DELETE)
kill -CONT "${PID[edge-1]}"
wait "$caller" || true
state=$(send_job_request)
[ "$cancelled" = 410 ] || fail "cancellation: $cancelled, expected 410"
[ "$(cat "$WORK/submitted")" = 200 ] ||
    fail "submission: $(cat "$WORK/submitted"), expected 200"
[ "$state" = 200 ] && grep -q '"cancelled"' "$WORK/body" ||
    fail "state: $state $(cat "$WORK/body"), expected cancelled"
echo "a late submission of a cancelled job does not run"
