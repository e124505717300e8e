#include "journal.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

struct Journal {
    size_t capacity;
    uint64_t last_sequence; /* sequence of the newest entry, or 0 if empty */
    JournalEntry *entries;  /* ring buffer */
};

static const char *const kind_names[JOURNAL_KIND_COUNT] = {
    "move",       "drain",     "refusal",          "eviction", "readmission",
    "wave-pause", "wave-step", "reclassification", "other"};

static const char *const subject_names[JOURNAL_SUBJECT_COUNT] = {
    "vm", "pool", "to_pool", "request", "wave"};

Journal *
Journal_New(size_t capacity)
{
    Journal *journal = calloc(1, sizeof(*journal));

    if (journal == NULL || capacity == 0) {
        free(journal);
        return NULL;
    }
    journal->capacity = capacity;
    journal->entries = calloc(capacity, sizeof(*journal->entries));
    if (journal->entries == NULL) {
        free(journal);
        return NULL;
    }
    return journal;
}

void
Journal_Free(Journal *journal)
{
    if (journal != NULL) {
        free(journal->entries);
        free(journal);
    }
}

static void
copy_printable(char *out, size_t size, const char *text)
{
    size_t i = 0;

    for (; text != NULL && text[i] != '\0' && i + 1 < size; i++) {
        out[i] = text[i] >= ' ' && text[i] <= '~' ? text[i] : '?';
    }
    out[i] = '\0';
}

static size_t
get_subject_size(JournalSubjectKind kind)
{
    return kind == JOURNAL_REQUEST ? JOURNAL_REQUEST_BYTES
                                   : JOURNAL_NAME_BYTES;
}

void
Journal_AddEntry(Journal *journal, int64_t now_ms, uint64_t version,
                 const JournalDecision *decision)
{
    JournalEntry *entry =
        &journal->entries[journal->last_sequence % journal->capacity];
    int i;

    memset(entry, 0, sizeof(*entry));
    entry->sequence = ++journal->last_sequence;
    entry->time_ms = now_ms;
    entry->version = version;
    entry->kind =
        decision->kind < JOURNAL_KIND_COUNT ? decision->kind : JOURNAL_OTHER;
    for (i = 0; i < JOURNAL_SUBJECT_COUNT; i++) {
        copy_printable(entry->subjects[i],
                       get_subject_size((JournalSubjectKind)i),
                       decision->subjects[i]);
    }
    copy_printable(entry->cause, sizeof(entry->cause), decision->cause);
    for (i = 0; i < JOURNAL_MAX_FIGURES && decision->figure_names[i] != NULL;
         i++) {
        copy_printable(entry->figures[i].name, JOURNAL_FIGURE_BYTES,
                       decision->figure_names[i]);
        entry->figures[i].value = decision->figures[i];
    }
    entry->figure_count = (size_t)i;
}

static bool
has_subject(const JournalEntry *entry, JournalSubjectKind kind,
            const char *text)
{
    char wanted[JOURNAL_REQUEST_BYTES];

    copy_printable(wanted, get_subject_size(kind), text);
    return wanted[0] != '\0' && strcmp(entry->subjects[kind], wanted) == 0;
}

static bool
matches_subject(const JournalEntry *entry, JournalSubjectKind subject_kind,
                const char *subject)
{
    int i;

    if (subject == NULL) {
        return true;
    }
    for (i = 0; i < JOURNAL_SUBJECT_COUNT; i++) {
        bool kind_matches =
            subject_kind == JOURNAL_ANY ||
            subject_kind == (JournalSubjectKind)i ||
            (subject_kind == JOURNAL_POOL && i == JOURNAL_TO_POOL);
        if (kind_matches &&
            has_subject(entry, (JournalSubjectKind)i, subject)) {
            return true;
        }
    }
    return false;
}

const JournalEntry *
Journal_FindNext(const Journal *journal, JournalSubjectKind subject_kind,
                 const char *subject, uint64_t *cursor)
{
    while (*cursor < journal->last_sequence && *cursor < journal->capacity) {
        uint64_t sequence = journal->last_sequence - (*cursor)++;
        const JournalEntry *entry =
            &journal->entries[(sequence - 1) % journal->capacity];
        if (matches_subject(entry, subject_kind, subject)) {
            return entry;
        }
    }
    return NULL;
}

void
Journal_AppendText(const Journal *journal, JournalSubjectKind subject_kind,
                   const char *subject, size_t limit, Buf *out)
{
    const JournalEntry *entry;
    uint64_t cursor = 0;
    size_t i;

    while (limit-- > 0 &&
           (entry = Journal_FindNext(journal, subject_kind, subject,
                                     &cursor)) != NULL) {
        Buf_Printf(out,
                   "%" PRIu64 " at %" PRId64 " ms, version %" PRIu64 ": %s",
                   entry->sequence, entry->time_ms, entry->version,
                   kind_names[entry->kind]);
        for (i = 0; i < JOURNAL_SUBJECT_COUNT; i++) {
            if (entry->subjects[i][0] != '\0') {
                Buf_Printf(out, " %s=%s", subject_names[i],
                           entry->subjects[i]);
            }
        }
        Buf_Printf(out, ": %s", entry->cause);
        for (i = 0; i < entry->figure_count; i++) {
            Buf_Printf(out, "%s%s=%g", i == 0 ? " (" : ", ",
                       entry->figures[i].name, entry->figures[i].value);
        }
        Buf_Printf(out, "%s\n", entry->figure_count > 0 ? ")" : "");
    }
}

static json_t *
encode_entry(const JournalEntry *entry)
{
    json_t *figures = json_object();
    json_t *object = json_pack("{s:I,s:I,s:I,s:s,s:s}", "sequence",
                               (json_int_t)entry->sequence, "time_ms",
                               (json_int_t)entry->time_ms, "version",
                               (json_int_t)entry->version, "kind",
                               kind_names[entry->kind], "cause", entry->cause);
    size_t i;

    for (i = 0; i < JOURNAL_SUBJECT_COUNT; i++) {
        if (entry->subjects[i][0] != '\0') {
            json_object_set_new(object, subject_names[i],
                                json_string(entry->subjects[i]));
        }
    }
    for (i = 0; i < entry->figure_count; i++) {
        double value = entry->figures[i].value;
        /* JSON cannot represent infinity or NaN. */
        json_object_set_new(figures, entry->figures[i].name,
                            isfinite(value) ? json_real(value) : json_null());
    }
    json_object_set_new(object, "figures", figures);
    return object;
}

Status
Journal_AppendJson(const Journal *journal, JournalSubjectKind subject_kind,
                   const char *subject, size_t limit, Buf *out)
{
    json_t *list = json_array();
    const JournalEntry *entry;
    uint64_t cursor = 0;
    char *text;

    while (limit-- > 0 &&
           (entry = Journal_FindNext(journal, subject_kind, subject,
                                     &cursor)) != NULL) {
        json_array_append_new(list, encode_entry(entry));
    }
    text = list == NULL ? NULL : json_dumps(list, JSON_COMPACT);
    json_decref(list);
    if (text == NULL) {
        return ST_NO_MEMORY;
    }
    Buf_Append(out, text, strlen(text));
    free(text);
    return ST_OK;
}
