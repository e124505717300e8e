/*
 * NAME
 *     journal - bounded record of decisions
 *
 * DESCRIPTION
 *     A ring of the newest decisions, each with its subjects, cause, figures,
 *     time and configuration version. Texts are cut at their bounds, and
 *     characters other than printable ASCII are stored as '?'. An entry takes
 *     about 1.2 KB. Adding is O(1); a lookup reads the ring once. Not
 *     thread-safe.
 */
#ifndef COLTSFOOT_JOURNAL_H
#define COLTSFOOT_JOURNAL_H

#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "status.h"

#define JOURNAL_NAME_BYTES 64
#define JOURNAL_REQUEST_BYTES 160 /* caller and request id */
#define JOURNAL_CAUSE_BYTES 160
#define JOURNAL_FIGURES 6
#define JOURNAL_FIGURE_BYTES 24

typedef enum JournalKind {
    JOURNAL_MOVE,
    JOURNAL_DRAIN,
    JOURNAL_REFUSAL,
    JOURNAL_EVICTION,
    JOURNAL_READMISSION,
    JOURNAL_WAVE_PAUSE,
    JOURNAL_WAVE_STEP,
    JOURNAL_RECLASSIFICATION,
    JOURNAL_OTHER,
    JOURNAL_KIND_COUNT
} JournalKind;

typedef enum JournalSubject {
    JOURNAL_VM,
    JOURNAL_POOL,
    JOURNAL_TO_POOL, /* of a move; a lookup of a pool finds both */
    JOURNAL_REQUEST,
    JOURNAL_WAVE,
    JOURNAL_SUBJECT_COUNT,
    JOURNAL_ANY = JOURNAL_SUBJECT_COUNT /* for lookups */
} JournalSubject;

typedef struct JournalFigure {
    char name[JOURNAL_FIGURE_BYTES];
    double value;
} JournalFigure;

typedef struct JournalEntry {
    uint64_t sequence; /* from 1, without gaps */
    int64_t time_ms;
    uint64_t version; /* of the configuration in force */
    JournalKind kind;
    char subjects[JOURNAL_SUBJECT_COUNT][JOURNAL_REQUEST_BYTES]; /* or empty */
    char cause[JOURNAL_CAUSE_BYTES];
    JournalFigure figures[JOURNAL_FIGURES];
    size_t figure_count;
} JournalEntry;

/* What is noted; subjects and cause may be NULL. */
typedef struct JournalNote {
    JournalKind kind;
    const char *subjects[JOURNAL_SUBJECT_COUNT];
    const char *cause;
    const char *figure_names[JOURNAL_FIGURES]; /* up to the first NULL */
    double figures[JOURNAL_FIGURES];
} JournalNote;

typedef struct Journal Journal;

/* Returns NULL for a capacity of 0, or without memory. */
Journal *Journal_New(size_t capacity);
void Journal_Free(Journal *journal);

void Journal_Add(Journal *journal, int64_t now, uint64_t version,
                 const JournalNote *note);

/* Iterates from the newest entry: *cursor starts at 0. Returns the next entry
 * with that subject, or NULL at the end. by is JOURNAL_ANY to compare with
 * all; a NULL subject matches every entry. */
const JournalEntry *Journal_Next(const Journal *journal, JournalSubject by,
                                 const char *subject, uint64_t *cursor);

/* Append up to limit matching entries, the newest first. */
void Journal_Text(const Journal *journal, JournalSubject by,
                  const char *subject, size_t limit, Buf *out);
Status Journal_Json(const Journal *journal, JournalSubject by,
                    const char *subject, size_t limit, Buf *out);

#endif
