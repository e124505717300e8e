/*
 * NAME
 *     journal - bounded history of decisions
 *
 * DESCRIPTION
 *     A ring buffer of the newest decisions, each with its subjects, cause,
 *     figures, time and configuration version. Texts are truncated to the
 *     sizes below, and characters other than printable ASCII are stored as
 *     '?'. An entry takes about 1.2 KB. Adding an entry is O(1); a lookup
 *     scans the buffer once. Not thread-safe.
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
#define JOURNAL_MAX_FIGURES 6
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

typedef enum JournalSubjectKind {
    JOURNAL_VM,
    JOURNAL_POOL,
    JOURNAL_TO_POOL, /* destination of a move; JOURNAL_POOL also matches it */
    JOURNAL_REQUEST,
    JOURNAL_WAVE,
    JOURNAL_SUBJECT_COUNT,
    JOURNAL_ANY = JOURNAL_SUBJECT_COUNT /* any kind; only for lookups */
} JournalSubjectKind;

typedef struct JournalFigure {
    char name[JOURNAL_FIGURE_BYTES];
    double value;
} JournalFigure;

typedef struct JournalEntry {
    uint64_t sequence; /* from 1, without gaps */
    int64_t time_ms;
    uint64_t version; /* configuration version at the time */
    JournalKind kind;
    /* an empty text for each absent subject */
    char subjects[JOURNAL_SUBJECT_COUNT][JOURNAL_REQUEST_BYTES];
    char cause[JOURNAL_CAUSE_BYTES];
    JournalFigure figures[JOURNAL_MAX_FIGURES];
    size_t figure_count;
} JournalEntry;

/* The decision to add; each subject and the cause may be NULL. */
typedef struct JournalDecision {
    JournalKind kind;
    const char *subjects[JOURNAL_SUBJECT_COUNT];
    const char *cause;
    const char *figure_names[JOURNAL_MAX_FIGURES]; /* up to the first NULL */
    double figures[JOURNAL_MAX_FIGURES];
} JournalDecision;

typedef struct Journal Journal;

/* Returns NULL if the capacity, in entries, is 0 or allocation fails. */
Journal *Journal_New(size_t capacity);
void Journal_Free(Journal *journal);

void Journal_AddEntry(Journal *journal, int64_t now_ms, uint64_t version,
                      const JournalDecision *decision);

/* Returns the next entry with the subject, or NULL after the oldest one.
 * Iterates from the newest entry; *cursor must be 0 at the start. With
 * JOURNAL_ANY, subjects of all kinds are compared. A NULL subject matches
 * every entry. */
const JournalEntry *Journal_FindNext(const Journal *journal,
                                     JournalSubjectKind subject_kind,
                                     const char *subject, uint64_t *cursor);

/* Append up to limit matching entries to out as text or JSON, newest first. */
void Journal_AppendText(const Journal *journal,
                        JournalSubjectKind subject_kind, const char *subject,
                        size_t limit, Buf *out);
Status Journal_AppendJson(const Journal *journal,
                          JournalSubjectKind subject_kind, const char *subject,
                          size_t limit, Buf *out);

#endif
