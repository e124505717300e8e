#!/usr/bin/env bash
# Fault soak of the job service: three control nodes and an entry VM as real
# processes, killed, frozen, emptied and all killed at once in random order,
# while configurations and jobs are sent. Guards against an acknowledged
# configuration or job that is lost, and against a node that shows an older
# configuration than an acknowledged one.
# Usage: proc_job_soak.sh [BUILD]; SEED and ROUNDS repeat or lengthen a run.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh

SEED=${SEED:-1}
ROUNDS=${ROUNDS:-8}
CORES=(core-1 core-2 core-3)
VERSION=1
ACKED=0
JOBS=()
WIPES=0

host_of() {
    echo "127.0.0.$((${1#core-} + 1))"
}

write_settings() {
    local name=$1 found=$2
    cat >"$WORK/$name.yaml" <<END
name: $name
cluster: soak
data_centre: north
region: west
role: control
wire: platform
peer: $(host_of "$name"):$BASE
control: $(host_of "$name"):$((BASE + 1))
metrics: $(host_of "$name"):$((BASE + 4))
data_folder: $WORK/$name
found: $found
disk_losses: 1
election_ms: 600
heartbeat_ms: 150
seeds: ["127.0.0.2:$((BASE + 1))", "127.0.0.3:$((BASE + 1))", "127.0.0.4:$((BASE + 1))"]
END
}

start_node() {
    mkdir -p "$WORK/$1"
    "$BUILD/coltsfootd" --settings "$WORK/$1.yaml" >>"$WORK/$1.out" \
        2>>"$WORK/$1.log" &
    PID[$1]=$!
    disown
}

start_core() {
    write_settings "$1" "$2"
    start_node "$1"
}

stop_hard() {
    kill -KILL "${PID[$1]}"
    while kill -0 "${PID[$1]}" 2>/dev/null; do sleep 0.05; done
}

# request ARGS...: prints the status, 000 without an answer; the body goes to
# $WORK/body.
request() {
    curl -s --noproxy '*' -L --max-redirs 2 -m 2 -o "$WORK/body" \
        -w '%{http_code}' "$@" || true
}

# metric NAME: prints its value at the leader, or nothing.
metric() {
    local core
    for core in "${CORES[@]}"; do
        curl -s --noproxy '*' -m 1 \
            "http://$(host_of "$core"):$((BASE + 4))/metrics" \
            >"$WORK/metrics" || continue
        if grep -q '^coltsfoot_leader 1' "$WORK/metrics"; then
            awk -v name="$1" '$1 == name { print $2 }' "$WORK/metrics"
            return
        fi
    done
}

# Every emptied disk has a successor: until its old identity is removed, one
# disk less can be borne.
is_whole() {
    local replaced
    replaced=$(grep -oh 'remove the old identity.*' "$WORK"/core-*.log |
        sort -u | wc -l) || true
    [ "$replaced" -eq "$WIPES" ] && [ "$(metric coltsfoot_voters)" = 3 ] &&
        [ "$(metric coltsfoot_peers_up)" = 3 ]
}

any_core() {
    echo "${CORES[$((RANDOM % 3))]}"
}

send_config() {
    VERSION=$((VERSION + 1 + RANDOM % 5))
    local status
    status=$(request -X PUT -d "$(platform_config "$VERSION" a.example /jobs/)" \
        "http://$(host_of "$(any_core)"):$((BASE + 1))$PLATFORM_CONFIG_PATH")
    [ "$status" = 200 ] && ACKED=$VERSION
    return 0
}

submit_jobs() {
    local i id status
    for ((i = 0; i < 3; i++)); do
        id=$(printf '%016x' $((${#JOBS[@]} * 4096 + RANDOM % 4096)))
        status=$(request -X POST -H 'Host: a.example' \
            -d "$(platform_job 2)" \
            "http://127.0.0.5:$((BASE + 2))/jobs/$id")
        [ "$status" = 200 ] && JOBS+=("$id")
    done
    return 0
}

read_config() {
    local acked=$ACKED core=$1 status seen
    status=$(request \
        "http://$(host_of "$core"):$((BASE + 1))$PLATFORM_CONFIG_PATH")
    [ "$status" = 200 ] || return 1
    seen=$(platform_config_version "$WORK/body")
    [ "$seen" -ge "$acked" ] ||
        fail "seed $SEED: $core shows version $seen after $acked was accepted"
}

fault() {
    local core=$1 other
    case $((RANDOM % 5)) in
    0)
        stop_hard "$core"
        sleep 0.5
        start_core "$core" false
        ;;
    1)
        kill -STOP "${PID[$core]}"
        submit_jobs
        send_config
        kill -CONT "${PID[$core]}"
        read_config "$core" || true
        ;;
    2)
        for other in "${CORES[@]}"; do kill -KILL "${PID[$other]}"; done
        sleep 0.3
        for other in "${CORES[@]}"; do start_core "$other" false; done
        ;;
    3)
        wait_for "three voters" is_whole
        send_config
        stop_hard "$core"
        rm -rf "${WORK:?}/$core"
        WIPES=$((WIPES + 1))
        start_core "$core" false
        ;;
    *)
        kill -TERM "${PID[$core]}"
        sleep 0.3
        kill -KILL "${PID[$core]}" 2>/dev/null || true
        start_core "$core" false
        ;;
    esac
}

proc_begin "${1:-build}"
choose_base 5
RANDOM=$SEED
for core in "${CORES[@]}"; do start_core "$core" true; done
cat >"$WORK/edge-1.yaml" <<END
name: edge-1
cluster: soak
data_centre: north
region: west
role: entry
wire: platform
peer: 127.0.0.5:$BASE
traffic: 127.0.0.5:$((BASE + 2))
ready: 127.0.0.5:$((BASE + 3))
seeds: ["127.0.0.2:$((BASE + 1))", "127.0.0.3:$((BASE + 1))", "127.0.0.4:$((BASE + 1))"]
END
start_node edge-1
wait_for "three voters" is_whole
send_config
for ((round = 0; round < ROUNDS; round++)); do
    submit_jobs
    send_config
    fault "$(any_core)"
    submit_jobs
    send_config
    read_config "$(any_core)" || true
done
wait_for "three voters" is_whole
wait_for "the configuration" read_config "$(any_core)"
for id in "${JOBS[@]}"; do
    status=$(request -H 'Host: a.example' \
        "http://127.0.0.5:$((BASE + 2))/jobs/$id")
    [ "$status" = 200 ] || fail "seed $SEED: job $id was accepted, now $status"
done
[ ${#JOBS[@]} -gt 0 ] || fail "seed $SEED: no job was accepted"
echo "seed $SEED: ${#JOBS[@]} jobs and version $ACKED kept over $ROUNDS faults"
