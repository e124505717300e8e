# Functions of the bench scripts that measure the CPU time, memory and peer
# traffic of the entry VMs over an interval. Sourced after
# tests/support_proc.sh.
# shellcheck shell=bash

cpu_ticks_of() {
    # The process name in field 2 has no space here, so fields 14 and 15 are
    # the user and system time.
    awk '{print $14 + $15}' "/proc/$1/stat"
}

rss_kb_of() {
    awk '/^VmRSS:/ {print $2}' "/proc/$1/status"
}

fetch_status() {
    curl -sf --noproxy '*' -m 5 "http://${CONTROL[$1]}/v1/status"
}

# Values of each entry VM at the start of the interval.
declare -A TICKS=()
declare -A SENT=()
declare -A RECEIVED=()
START_NS=0

begin_usage() {
    local name text
    for name in "${ENTRIES[@]}"; do
        text=$(fetch_status "$name")
        SENT[$name]=$(json_number peer_bytes_sent <<<"$text")
        RECEIVED[$name]=$(json_number peer_bytes_received <<<"$text")
        TICKS[$name]=$(cpu_ticks_of "${PID[$name]}")
    done
    START_NS=$(date +%s%N)
}

# print_usage LABEL: prints a line with the usage since begin_usage for each
# entry VM.
print_usage() {
    local name text now sent received hertz role
    hertz=$(getconf CLK_TCK)
    for name in "${ENTRIES[@]}"; do
        now=$(date +%s%N)
        text=$(fetch_status "$name")
        sent=$(json_number peer_bytes_sent <<<"$text")
        received=$(json_number peer_bytes_received <<<"$text")
        role=$(grep -o '"role": *"[a-z]*"' <<<"$text" | cut -d'"' -f4)
        awk -v label="$1" -v name="$name" -v role="$role" \
            -v s="$(((now - START_NS) / 1000000))" -v hertz="$hertz" \
            -v ticks="$(($(cpu_ticks_of "${PID[$name]}") - TICKS[$name]))" \
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
