/*
 * NAME
 *     once - at most once for unrepeatable requests
 *
 * DESCRIPTION
 *     A token is text: home name, incarnation, number, issue time on the
 *     home's clock and an XXH64 checksum over these, separated by '~', the
 *     numbers in hexadecimal. The checksum finds mistyped tokens; it is no
 *     signature. A token is bound to the caller id and request id of its first
 *     use.
 *
 *     The home keeps one row for each token from its issue on, so a request
 *     with a valid token always finds room, and "not run" can be kept as a
 *     final outcome. A token whose outcome is "not run" is spent: a delayed
 *     copy of the request that arrives later must not run, since its caller
 *     was told that it did not.
 *
 *     Order of calls at the home, for each ONCE_FRESH:
 *
 *         Once_Begin             ONCE_FRESH
 *         Once_EncodeRecord      an intent: append and sync, or send
 *         Once_IntentRecorded    true once it is synced or acknowledged
 *         Once_Dispatch          ST_OK: send this attempt to one target
 *         Once_NotRun            the target ran nothing; dispatch again
 *         Once_Finish            in every case, also before a dispatch
 *         Once_EncodeRecord      the outcome, to where the intent is
 *
 *     A request of an older incarnation is never dispatched. A lost record can
 *     therefore turn an outcome into "unknown", but never into "not run" or a
 *     second execution.
 *
 *     Time is in ms and must not depend on the wall clock of another process;
 *     a time earlier than that of a previous call counts as that previous
 *     time. Each operation is amortised O(1): rows wait in lists ordered by
 *     the time at which they are dropped. Not thread-safe; the caller locks.
 *     Views and their answers are valid until the next call.
 */
#ifndef COLTSFOOT_ONCE_H
#define COLTSFOOT_ONCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "status.h"

#define ONCE_HOME_BYTES 64       /* with the terminator */
#define ONCE_TOKEN_BYTES 160     /* with the terminator */
#define ONCE_MAX_ISSUE 1024      /* tokens in one call */
#define ONCE_TTL_MS 600000       /* default */
#define ONCE_RETENTION_MS 660000 /* Once_RetentionMs of the default */
#define ONCE_LATE_GRACE_MS 60000 /* kept after an outcome past retention */

typedef struct Once Once;

typedef struct OnceOptions {
    const char *home;         /* name of this entry VM; no '~' */
    uint64_t incarnation;     /* differs at every start */
    int64_t ttl_ms;           /* from issue; the same on all entry VMs */
    uint32_t max_tokens;      /* own tokens not yet dropped */
    uint32_t max_held;        /* records of other homes, and recovered ones */
    size_t max_answer_bytes;  /* a longer answer is not kept */
    size_t max_answers_bytes; /* all kept answers; the oldest go first */
} OnceOptions;

/* At most about 50 MB: 112 bytes a row, 8 a bucket, and the answers. */
#define ONCE_OPTIONS_DEFAULT                                                  \
    ((OnceOptions){.ttl_ms = ONCE_TTL_MS,                                     \
                   .max_tokens = 131072,                                      \
                   .max_held = 131072,                                        \
                   .max_answer_bytes = 65536,                                 \
                   .max_answers_bytes = 16777216})

typedef enum OnceOutcome {
    ONCE_OUTCOME_NONE = 0, /* running, or an intent without an outcome */
    ONCE_OUTCOME_DONE,
    ONCE_OUTCOME_NOT_RUN,
    ONCE_OUTCOME_UNKNOWN,
    ONCE_OUTCOME_CANCELLED /* closed; says nothing on what ran */
} OnceOutcome;

typedef enum OnceVerdict {
    ONCE_FRESH,   /* this call owns the request; go on to the intent */
    ONCE_RUNNING, /* begun before, no outcome yet */
    ONCE_DONE,    /* the view has the outcome, and the answer if kept */
    ONCE_UNKNOWN, /* answer "unknown"; see OnceView.ask_peers */
    ONCE_EXPIRED, /* answer "unknown": the record may be gone */
    ONCE_FORWARD, /* the view has the home to forward to */
    ONCE_BAD      /* mistyped, never issued, or bound to another request */
} OnceVerdict;

typedef struct OnceView {
    char home[ONCE_HOME_BYTES];
    OnceOutcome outcome;
    int status;         /* HTTP status of the answer */
    const char *answer; /* NULL when there is none or it was not kept */
    size_t len;
    bool answer_dropped; /* done, but the answer was too long or too old */
    bool ask_peers; /* own token of an older incarnation: another entry VM may
                     * hold the outcome; pass its record to Once_HoldOutcome
                     * and begin again */
} OnceView;

/* Returns NULL when memory is exhausted, ttl_ms is not above 0, or the home's
 * name is empty, too long or contains '~', control characters or spaces. */
Once *Once_New(const OnceOptions *options);
void Once_Free(Once *once);

/* Returns how long records are kept for tokens with this life time: longer by
 * ONCE_RETENTION_MS - ONCE_TTL_MS, which covers the resends and peers that are
 * under way when the token expires. */
int64_t Once_RetentionMs(int64_t ttl_ms);

/* Drops what is past its retention. The other calls do the same; call it from
 * a timer so that an idle process gives memory back. */
void Once_Tick(Once *once, int64_t now);

/* Writes count tokens (1 to ONCE_MAX_ISSUE) to out. Returns ST_INVALID for
 * another count, ST_FULL when that many rows are not free; then none is
 * issued. */
Status Once_Issue(Once *once, int64_t now, size_t count,
                  char out[][ONCE_TOKEN_BYTES]);

/* Decides on a request. caller and request_id are the texts of the headers.
 * A forwarded request is decided by the home's own call. */
OnceVerdict Once_Begin(Once *once, int64_t now, const char *token,
                       const char *caller, const char *request_id,
                       OnceView *view);

/* Reports whether the intent is synced on the home's disk or acknowledged by
 * a second entry VM. After false another place may be tried. Returns ST_STALE
 * when the request is not begun or has an outcome. */
Status Once_IntentRecorded(Once *once, int64_t now, const char *token,
                           bool recorded);

/* Asks for permission to send the request to one target, right before the
 * first byte. Returns ST_OK with the number of the attempt; ST_AGAIN without a
 * recorded intent; ST_EXISTS while an attempt is out; ST_STALE when there is
 * an outcome or no such request. */
Status Once_Dispatch(Once *once, int64_t now, const char *token,
                     uint32_t *attempt);

/* The target of this attempt stated that it ran nothing. Returns ST_STALE for
 * another attempt than the one that is out, such as a duplicated statement. */
Status Once_NotRun(Once *once, int64_t now, const char *token,
                   uint32_t attempt);

/* Stores the outcome and a bounded copy of the answer. attempt is that of the
 * answer, 0 where there is none. Returns ST_CONFLICT for "not run" while an
 * attempt is out: it may have run. Returns ST_STALE for an answer to another
 * attempt, and when there is an outcome already; an answer to the attempt that
 * was out replaces "unknown". */
Status Once_Finish(Once *once, int64_t now, const char *token,
                   uint32_t attempt, OnceOutcome outcome, int status,
                   const char *answer, size_t len);

/* Appends the record of a token, own or held: the intent, or the outcome once
 * there is one. A record delimits and checks itself (4-byte length, XXH64,
 * msgpack body) and serves both the file and the peer link. Returns
 * ST_NOT_FOUND for a token without a begun request. */
Status Once_EncodeRecord(Once *once, const char *token, Buf *out);

/* At the second entry VM: keep one record for ONCE_RETENTION_MS from now.
 * Once_HoldOutcome also serves at the home, for a record that a peer returned.
 * Returns ST_CORRUPT for bytes that are not one whole record, ST_INVALID for
 * the wrong kind, another binding or a token of this very incarnation, ST_FULL
 * when there is no room: the home has to record elsewhere. */
Status Once_HoldIntent(Once *once, int64_t now, const char *record,
                       size_t len);
Status Once_HoldOutcome(Once *once, int64_t now, const char *record,
                        size_t len);

/* Looks up a held record. Returns ST_OK with the view, whose outcome is
 * ONCE_OUTCOME_NONE for a bare intent; ST_NOT_FOUND; ST_INVALID for a bad
 * token or another caller or request id. */
Status Once_Held(Once *once, int64_t now, const char *token,
                 const char *caller, const char *request_id, OnceView *view);

typedef struct OnceRecovery {
    size_t intents;  /* records read */
    size_t outcomes; /* records read */
    size_t valid;    /* bytes up to the end of the last whole record */
} OnceRecovery;

/* Reads the content of one file of records, the older file first. Returns
 * ST_OK, also for a tail cut off within a record: truncate the file to
 * out->valid. Returns ST_CORRUPT with the offset in the message for a bad
 * record inside; what precedes it is kept, and the rest becomes "unknown".
 * A file may be deleted Once_RetentionMs after the last append to it. */
Status Once_Recover(Once *once, int64_t now, const char *bytes, size_t len,
                    OnceRecovery *out, ErrCtx *err);

typedef struct OnceCounts {
    uint32_t tokens;     /* own rows */
    uint32_t held;       /* held and recovered rows */
    size_t answer_bytes; /* kept answers */
} OnceCounts;

OnceCounts Once_Counts(const Once *once);

#endif
