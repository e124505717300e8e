#!/usr/bin/env bash
# Guards against a stop of an entry VM of the job service that cuts off a
# request which its leader has not answered: the caller must get an answer.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh

# job_settings NAME ROLE HOST: writes the keys that both roles have. Nodes find
# each other under one peer port, so each has an address of its own.
job_settings() {
    cat >"$WORK/$1.yaml" <<END
name: $1
cluster: jobs
data_centre: north
region: west
role: $2
wire: platform
peer: 127.0.0.$3:$BASE
seeds: ["127.0.0.2:$((BASE + 1))"]
END
}

start_node() {
    "$BUILD/coltsfootd" --settings "$WORK/$1.yaml" >"$WORK/$1.out" \
        2>"$WORK/$1.log" &
    PID[$1]=$!
}

proc_begin "${1:-build}"
choose_base 4
job_settings core-1 control 2
cat >>"$WORK/core-1.yaml" <<END
control: 127.0.0.2:$((BASE + 1))
data_folder: $WORK/core-1
found: true
disk_losses: 0
END
job_settings edge-1 entry 3
cat >>"$WORK/edge-1.yaml" <<END
traffic: 127.0.0.3:$((BASE + 2))
ready: 127.0.0.3:$((BASE + 3))
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
    -X POST -d '{}' "http://127.0.0.3:$((BASE + 2))/jobs/a1") || true
kill -CONT "${PID[core-1]}"
[ "$status" = 504 ] || fail "the caller got $status"
ended=0
wait "${PID[edge-1]}" || ended=$?
[ "$ended" -eq 0 ] || fail "the entry VM ended with $ended"
echo "answered with $status before the end of a stop"
