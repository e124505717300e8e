/*
 * NAME
 *     common_load - open-loop load generator that checks the answers
 *
 * DESCRIPTION
 *     Requests start at random arrival times with a given mean rate, whether
 *     or not earlier requests have been answered. Latency is measured from
 *     the arrival time.
 */
#ifndef COLTSFOOT_STANDIN_COMMON_LOAD_H
#define COLTSFOOT_STANDIN_COMMON_LOAD_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "buf.h"
#include "settings.h"

#define LOAD_MAX_ADDRESSES 128
#define LOAD_MAX_SERVICES 32
#define LOAD_TOKEN_BYTES 256
#define LOAD_ID_BYTES 64
#define LOAD_OUTCOME_BYTES 32

typedef struct LoadOptions {
    SettingsAddress addresses[LOAD_MAX_ADDRESSES];
    int address_count;
    SettingsAddress verify_addresses[LOAD_MAX_ADDRESSES];
    int verify_count;
    const char *services[LOAD_MAX_SERVICES];
    int service_count;
    double rate;
    double seconds;
    int requests; /* number to send; 0: as many as fit in seconds */
    int body_bytes;
    int run_us; /* run time stated in the body; negative: none */
    int deadline_ms;
    const char *class;
    const char *team;
    const char *caller;
    int unrepeatable_percent;
    int twice_percent;
    int cancel_percent;
    int max_resends;
    bool direct; /* the addresses are targets, called as by an entry VM */
    uint64_t seed;
} LoadOptions;

typedef struct LoadCounts {
    int64_t sent;
    int64_t done;
    int64_t not_run;
    int64_t unknown;
    int64_t unable;
    int64_t cancelled;
    int64_t lost;
    int64_t wrong;
    int64_t late;
    int64_t resent;
    int64_t no_token;
    int64_t verified; /* unrepeatable requests with checked run counts */
} LoadCounts;

/* Result of a request, kept until the run counts are verified. */
typedef struct LoadRecord {
    uint64_t sequence; /* last part of the request id */
    int64_t latency_us;
    bool unrepeatable;
    bool answered;
    bool done;
    bool not_run;
    bool call_failed; /* a call got no answer or no token */
    bool conflict;    /* answered both not-run and done */
} LoadRecord;

typedef struct Load {
    LoadOptions options;
    LoadCounts counts;
    LoadRecord *records;
    size_t record_count;
    size_t record_capacity;
    uint64_t run_id; /* first part of the request ids */
    uint64_t random_state;
    CURLM *multi;
    int next_address_index;
    int64_t in_flight;
} Load;

/* Writes the request id of a record to id, a buffer of LOAD_ID_BYTES. */
void Load_FormatId(const Load *load, const LoadRecord *record, char *id);

/* Sends all requests and waits for their answers. */
void Load_Run(Load *load);

/* Compares the records with the run counts of the targets. Each mismatch is
 * counted as wrong and printed to standard error. */
void Load_Verify(Load *load);

/* Frees the records. */
void Load_Free(Load *load);

/* Prints the counts and latency quantiles as one JSON line. */
void Load_PrintCounts(const Load *load, FILE *out);

#endif
