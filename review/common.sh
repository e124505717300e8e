# Functions of the scripts of review/: a small deployment of the job service on
# loopback addresses, and an HTTP client. Source it from review/N/run.sh.
# shellcheck shell=bash

set -uo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
DAEMON=$ROOT/target/coltsfootd
MINION=$ROOT/review/build/review-minion
TROUBLE=${TROUBLE:-1}
HOST=a.example
declare -A PID=()

now_ms() { echo $((${EPOCHREALTIME//[!0-9]/} / 1000)); }

# note WORDS...: appends a line with the time to record.txt.
note() { echo "$(now_ms) $*" >>"$RECORD"; }

# cannot_run TEXT: ends the script, as the case could not run.
cannot_run() {
    note "cannot run: $*"
    echo "cannot run: $*" >&2
    exit 2
}

cleanup() {
    local status=$? name i
    trap - EXIT
    for name in "${!PID[@]}"; do
        kill -CONT "${PID[$name]}" 2>/dev/null
        kill -KILL "${PID[$name]}" 2>/dev/null
    done
    for ((i = 0; i < 50; i++)); do
        local alive=0
        for name in "${!PID[@]}"; do
            kill -0 "${PID[$name]}" 2>/dev/null && alive=1
        done
        [ $alive = 0 ] && break
        sleep 0.1
    done
    # The files of the processes stay if KEEP names a folder.
    if [ -n "${KEEP:-}" ]; then cp -r "$WORK" "$KEEP"; fi
    rm -rf "$WORK"
    exit $status
}

port_is_free() {
    local host
    for host in 1 2 3 4 5 6 7; do
        ! (exec 3<>"/dev/tcp/127.0.0.$host/$1") 2>/dev/null || return 1
    done
}

# begin FOLDER: creates record.txt, the temporary folder and a free port range.
begin() {
    local try i
    RECORD=$(cd "$1" && pwd)/record.txt
    : >"$RECORD"
    [ -x "$DAEMON" ] || cannot_run "$DAEMON is not built"
    [ -x "$MINION" ] || cannot_run "$MINION is not built"
    WORK=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX")
    trap cleanup EXIT
    trap 'exit 2' INT TERM
    for ((try = 0; try < 50; try++)); do
        BASE=$((12000 + (RANDOM % 180) * 100))
        for ((i = 0; i < 30; i++)); do
            port_is_free $((BASE + i)) || continue 2
        done
        note "TROUBLE=$TROUBLE, ports from $BASE"
        return
    done
    cannot_run "no free ports"
}

# write_settings NAME ROLE NUMBER FOUND: the settings that the deploy file's
# template gives, with the values of a small deployment.
write_settings() {
    local ip=127.0.0.$3
    {
        echo "name: \"$1\""
        echo 'cluster: "fleet"'
        echo 'data_centre: "north"'
        echo 'region: "west"'
        echo "role: \"$2\""
        echo 'wire: "platform"'
        if [[ $1 == relay-* ]]; then
            echo "peer: \"$ip:$((BASE + 5))\""
        else
            echo "peer: \"$ip:$BASE\""
        fi
        if [ "$2" = control ]; then
            echo "control: \"$ip:$((BASE + 1))\""
            echo "metrics: \"$ip:$((BASE + 4))\""
            echo "data_folder: \"$WORK/$1\""
        elif [[ $1 == relay-* ]]; then
            echo "control: \"$ip:$((BASE + 1))\""
            echo "seed_peer_port: $BASE"
        else
            echo "traffic: \"$ip:$((BASE + 2))\""
            echo "ready: \"$ip:$((BASE + 3))\""
        fi
        echo 'seeds:'
        echo "  - \"127.0.0.2:$((BASE + 1))\""
        echo "  - \"127.0.0.3:$((BASE + 1))\""
        echo "  - \"127.0.0.4:$((BASE + 1))\""
        echo "found: $4"
        echo 'disk_losses: 1'
        echo 'announce_ms: 1500'
        echo 'run_lease_ms: 6000'
        echo 'run_stop_ms: 200'
        echo 'job_early_ms: 0'
        echo 'holder_lease_ms: 3000'
        echo 'election_ms: 600'
        echo 'heartbeat_ms: 150'
        echo 'snapshot_entries: 4096'
        echo 'shutdown_grace_ms: 5500'
    } >"$WORK/$1.yaml"
}

# start_node NAME ROLE NUMBER FOUND: the roles of the deploy file; a name that
# begins with relay- is its role relay, an entry VM with a control address only.
start_node() {
    write_settings "$@"
    mkdir -p "$WORK/$1"
    "$DAEMON" --settings "$WORK/$1.yaml" >>"$WORK/$1.log" 2>&1 &
    PID[$1]=$!
    disown
}

# http METHOD IP:PORT PATH HOST [BODY]: one request. Sets STATUS (000 without
# an answer), BODY and LOCATION.
http() {
    local method=$1 address=$2 path=$3 host=$4 body=${5:-} answer
    STATUS=000 BODY= LOCATION=
    answer=$(
        exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || exit 1
        printf '%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 3000\r\n%s%s\r\n\r\n%s' \
            "$method" "$path" "$host" \
            $'Connection: close\r\nContent-Type: application/json\r\n' \
            "Content-Length: ${#body}" "$body" >&3
        timeout 3 cat <&3
    ) 2>/dev/null
    [[ $answer == HTTP/1.* ]] || return 0
    STATUS=${answer:9:3}
    BODY=${answer##*$'\r\n\r\n'}
    if [[ $answer =~ [Ll]ocation:\ http://([0-9.:]+) ]]; then
        LOCATION=${BASH_REMATCH[1]}
    fi
}

# call METHOD PATH [BODY]: a client's call to the entry VM.
call() {
    http "$1" "127.0.0.5:$((BASE + 2))" "$2" "$HOST" "${3:-}"
    note "client: $1 $2 ${3:-} -> $STATUS $BODY"
}

# order METHOD PATH [BODY]: the operator's call; tries the control VMs in turn
# and follows two redirects.
order() {
    local node hop address
    for node in 2 3 4; do
        address=127.0.0.$node:$((BASE + 1))
        for hop in 1 2 3; do
            http "$1" "$address" "$2" control "${3:-}"
            [ "$STATUS" = 307 ] || break
            address=$LOCATION
        done
        [[ $STATUS == 2?? || $STATUS == 4?? ]] && break
    done
    note "operator: $1 $2 ${3:-} -> $STATUS ${BODY:0:60}"
}

# start_minion ID VM PORT OPTION...: a minion; its events go to $WORK/events.
start_minion() {
    local id=$1 vm=$2 port=$3
    shift 3
    "$MINION" --name "$id" --vm "$vm" --listen "127.0.0.6:$port" \
        --control "127.0.0.2:$((BASE + 1))" \
        --control "127.0.0.3:$((BASE + 1))" \
        --control "127.0.0.4:$((BASE + 1))" \
        --events "$WORK/events" "$@" 2>>"$WORK/minion.log" &
    PID[$id]=$!
    disown
    note "platform: minion $id starts on $vm"
}

# crash_minion ID
crash_minion() {
    kill -KILL "${PID[$1]}" 2>/dev/null
    unset "PID[$1]"
    note "platform: minion $1 crashes"
    echo "CRASH $(now_ms) $1" >>"$WORK/events"
}

# config VERSION ROUTES: a configuration whose service is p.
config() {
    echo "{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"p\"," \
        "\"health-check\":\"/healthz\",\"max-conns\":64,\"protocol\":\"h1\"," \
        "\"tls\":false,\"enforce-capacity\":true,\"standby\":false}]," \
        "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144," \
        "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}"
}

# route NAME PREFIX ATTEMPTS
route() {
    echo "{\"name\":\"$1\",\"host\":\"$HOST\",\"path-prefix\":\"$2\"," \
        "\"kind\":\"non_idempotent\",\"timeout-ms\":3000," \
        "\"completion-target-ms\":600,\"priority\":0,\"service\":\"p\"," \
        "\"max-attempts\":$3,\"slack-factor\":1.6}"
}

# start_service: three control VMs and an entry VM, until the entry VM is ready.
start_service() {
    local i
    start_node core-1 control 2 true
    start_node core-2 control 3 true
    start_node core-3 control 4 true
    start_node edge-1 entry 5 false
    for ((i = 0; i < 200; i++)); do
        http GET "127.0.0.5:$((BASE + 3))" /api/readyz platform
        [ "$STATUS" != 200 ] || break
        sleep 0.1
    done
    [ "$STATUS" = 200 ] || cannot_run "the entry VM is not ready"
    sleep 4 # the other control VMs become voters
}

# wait_for_events COUNT PATTERN SECONDS: until so many lines match.
wait_for_events() {
    local end=$(($(now_ms) + $3 * 1000))
    until [ "$(grep -cE "$2" "$WORK/events" 2>/dev/null)" -ge "$1" ]; do
        [ "$(now_ms)" -lt $end ] || return 1
        sleep 0.02
    done
}
