# Functions of the tests of untrusted clients. Source support_proc.sh,
# platform/request.sh and support_control.sh first.
# shellcheck shell=bash

CROWD_FAULTS=()

# start_limited_node NAME DESCRIPTORS: starts a node with a descriptor limit.
start_limited_node() {
    local before
    before=$(ulimit -Sn)
    ulimit -Sn "$2"
    start_node "$1"
    ulimit -Sn "$before"
}

# crowd_is_settled: succeeds once no connection of the crowd makes progress.
crowd_is_settled() {
    grep -q settled "$WORK/crowd.out"
}

# play_crowd TEXT NODE MAX_KB MAX_DESCRIPTORS REQUEST ARGS...: lets a crowd of
# clients with the given options play against a process and, while its
# connections stay, checks that the process lives, its peak of memory and its
# open descriptors stay within the bounds, and REQUEST, a function, succeeds.
# Collects faults in CROWD_FAULTS.
play_crowd() {
    local text=$1 node=$2 max_kb=$3 max_descriptors=$4 request=$5
    local pid=${PID[$2]} kb descriptors answered=no end
    shift 5
    echo 5 >"/proc/$pid/clear_refs"
    "$BUILD/standin-crowd" "$@" >"$WORK/crowd.out" 2>"$WORK/crowd.log" &
    PID[crowd]=$!
    wait_for "settled crowd ($text)" crowd_is_settled
    if ! kill -0 "$pid" 2>/dev/null; then
        CROWD_FAULTS+=("$text: the process has ended")
        kill_process crowd
        return
    fi
    kb=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/$pid/status")
    descriptors=$(find "/proc/$pid/fd" -mindepth 1 2>/dev/null | wc -l)
    end=$((SECONDS + 20))
    until [ $SECONDS -ge $end ]; do
        if "$request"; then
            answered=yes
            break
        fi
    done
    stop_crowd
    echo "$text: peak $kb KB, $descriptors descriptors," \
        "request answered: $answered; $(tail -n 1 "$WORK/crowd.out")"
    [ "$kb" -le "$max_kb" ] ||
        CROWD_FAULTS+=("$text: peak of $kb KB, bound $max_kb KB")
    [ "$descriptors" -le "$max_descriptors" ] ||
        CROWD_FAULTS+=("$text: $descriptors descriptors, bound $max_descriptors")
    [ $answered = yes ] ||
        CROWD_FAULTS+=("$text: an ordinary request is not answered")
}

stop_crowd() {
    kill -TERM "${PID[crowd]}"
    wait "${PID[crowd]}" || true
    unset "PID[crowd]"
}

# check_crowds: fails if a crowd met a fault.
check_crowds() {
    [ ${#CROWD_FAULTS[@]} -eq 0 ] ||
        fail "$(printf '%s\n' "${CROWD_FAULTS[@]}")"
}
