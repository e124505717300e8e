#!/usr/bin/env bash
# Guards against an entry VM of the job service that drops a request in flight
# when it is stopped: the caller must get an answer even if the leader has not
# answered the entry VM.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh

# write_settings NAME ROLE HOST: writes the settings that both roles have. All
# nodes of a cluster use the same peer port, so each has its own address.
write_settings() {
    cat >"$WORK/$1.yaml" <<END
name: $1
cluster: jobs
data_centre: north
region: west
role: $2
wire: platform
peer: 127.0.0.$3:$BASE_PORT
seeds: ["127.0.0.2:$((BASE_PORT + 1))"]
END
}

start_node() {
    "$BUILD/coltsfootd" --settings "$WORK/$1.yaml" >"$WORK/$1.out" \
        2>"$WORK/$1.log" &
    PID[$1]=$!
}

setup_run "${1:-build}"
choose_base_port 4
write_settings core-1 control 2
cat >>"$WORK/core-1.yaml" <<END
control: 127.0.0.2:$((BASE_PORT + 1))
data_folder: $WORK/core-1
found: true
disk_losses: 0
END
write_settings edge-1 entry 3
cat >>"$WORK/edge-1.yaml" <<END
traffic: 127.0.0.3:$((BASE_PORT + 2))
ready: 127.0.0.3:$((BASE_PORT + 3))
shutdown_grace_ms: 3500
END
mkdir "$WORK/core-1"
start_node core-1
start_node edge-1
wait_for "leader at the entry VM" \
    grep -q '"event":"ready_changed","ready":1' "$WORK/edge-1.out"

kill -TERM "${PID[edge-1]}"
sleep 2.5
kill -STOP "${PID[core-1]}"
status=$(curl -s --noproxy '*' -m 10 -o /dev/null -w '%{http_code}' \
    -X POST -d '{}' "http://127.0.0.3:$((BASE_PORT + 2))/jobs/a1") || true
kill -CONT "${PID[core-1]}"
[ "$status" = 504 ] || fail "the caller got status $status, expected 504"
exit_status=0
wait "${PID[edge-1]}" || exit_status=$?
[ "$exit_status" -eq 0 ] || fail "the entry VM exited with status $exit_status"
echo "answered with $status before the end of a stop"
