# Functions of the bench scripts: cost of processes between two points in
# time. Sourced after tests/support_proc.sh.
# shellcheck shell=bash

ticks_of() {
    # The name in field 2 is in parentheses and holds no space here.
    awk '{print $14 + $15}' "/proc/$1/stat"
}

rss_kb_of() {
    awk '/^VmRSS:/ {print $2}' "/proc/$1/status"
}

status_of() {
    curl -sf --noproxy '*' -m 5 "http://${CONTROL[$1]}/v1/status"
}

declare -A TICKS=()
declare -A SENT=()
declare -A RECEIVED=()
BEGAN_NS=0

usage_begin() {
    local name text
    for name in "${ENTRIES[@]}"; do
        text=$(status_of "$name")
        SENT[$name]=$(number peer_bytes_sent <<<"$text")
        RECEIVED[$name]=$(number peer_bytes_received <<<"$text")
        TICKS[$name]=$(ticks_of "${PID[$name]}")
    done
    BEGAN_NS=$(date +%s%N)
}

# usage_end LABEL: one line for each entry VM since usage_begin.
usage_end() {
    local name text now sent received hertz role
    hertz=$(getconf CLK_TCK)
    for name in "${ENTRIES[@]}"; do
        now=$(date +%s%N)
        text=$(status_of "$name")
        sent=$(number peer_bytes_sent <<<"$text")
        received=$(number peer_bytes_received <<<"$text")
        role=$(grep -o '"role": *"[a-z]*"' <<<"$text" | cut -d'"' -f4)
        awk -v label="$1" -v name="$name" -v role="$role" \
            -v s="$(((now - BEGAN_NS) / 1000000))" -v hertz="$hertz" \
            -v ticks="$(($(ticks_of "${PID[$name]}") - TICKS[$name]))" \
            -v rss="$(rss_kb_of "${PID[$name]}")" \
            -v sent="$((sent - SENT[$name]))" \
            -v received="$((received - RECEIVED[$name]))" 'BEGIN {
            s /= 1000
            printf "%s %s %s: %.2f%% of a core, %.1f MB resident, ", label,
                name, role, 100 * ticks / hertz / s, rss / 1024
            printf "peers %.0f B/s sent, %.0f B/s received, %.1f s\n",
                sent / s, received / s, s
        }'
    done
}
