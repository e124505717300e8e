#include "support.h"

#include <jansson.h>
#include <math.h>
#include <string.h>

#include "journal.h"

static Journal *
create_journal(size_t capacity)
{
    Journal *journal = Journal_New(capacity);
    static const JournalDecision decisions[] = {
        {.kind = JOURNAL_MOVE,
         .subjects = {"vm-1", "pay", "book", NULL, NULL},
         .cause = "regret above cost",
         .figure_names = {"regret", "cost"},
         .figures = {12.5, 10.0}},
        {.kind = JOURNAL_REFUSAL,
         .subjects = {NULL, "pay", NULL, "caller/7", NULL},
         .cause = "deadline"},
        {.kind = JOURNAL_WAVE_PAUSE,
         .subjects = {NULL, NULL, NULL, NULL, "wave-3"},
         .cause = "burn rate",
         .figure_names = {"rate"},
         .figures = {INFINITY}},
        {.kind = JOURNAL_EVICTION,
         .subjects = {"vm-1", "book", NULL, NULL, NULL},
         .cause = "failures"},
    };
    size_t i;

    for (i = 0; i < sizeof(decisions) / sizeof(decisions[0]); i++) {
        Journal_AddEntry(journal, (int64_t)i * 10, 40 + i, &decisions[i]);
    }
    return journal;
}

/* Guards against a lookup that misses a decision or returns a wrong one. */
START_TEST(lookup_by_subject)
{
    static const struct {
        JournalSubjectKind subject_kind;
        const char *subject;
        const char *expected; /* sequence digits, newest first */
    } cases[] = {
        {JOURNAL_VM, "vm-1", "41"},
        {JOURNAL_POOL, "pay", "21"},
        {JOURNAL_POOL, "book", "41"},
        {JOURNAL_TO_POOL, "book", "1"},
        {JOURNAL_REQUEST, "caller/7", "2"},
        {JOURNAL_WAVE, "wave-3", "3"},
        {JOURNAL_ANY, "vm-1", "41"},
        {JOURNAL_ANY, "wave-3", "3"},
        {JOURNAL_ANY, NULL, "4321"},
        {JOURNAL_VM, "pay", ""},
        {JOURNAL_VM, "", ""},
        {JOURNAL_ANY, "", ""},
    };
    Journal *journal = create_journal(8);
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        const JournalEntry *entry;
        uint64_t cursor = 0;
        char got[8] = "";
        size_t n = 0;
        while ((entry = Journal_FindNext(journal, cases[i].subject_kind,
                                         cases[i].subject, &cursor)) != NULL) {
            got[n++] = (char)('0' + entry->sequence);
        }
        ck_assert_str_eq(got, cases[i].expected);
    }
    Journal_Free(journal);
}
END_TEST

/* Guards against a journal that grows beyond its capacity or returns
 * overwritten entries. */
START_TEST(ring_keeps_newest_entries)
{
    Journal *journal = create_journal(3);
    const JournalEntry *entry;
    uint64_t cursor = 0;
    uint64_t expected = 4;

    while ((entry = Journal_FindNext(journal, JOURNAL_ANY, NULL, &cursor)) !=
           NULL) {
        ck_assert_uint_eq(entry->sequence, expected--);
    }
    ck_assert_uint_eq(expected, 1);
    ck_assert_ptr_null(Journal_New(0));
    Journal_Free(journal);
}
END_TEST

/* Guards against texts of callers that overflow their fields or break the
 * output formats. */
START_TEST(texts_are_truncated_and_sanitized)
{
    Journal *journal = Journal_New(2);
    JournalDecision decision = {.kind = JOURNAL_KIND_COUNT};
    char text[1000];
    Buf out = BUF_INIT;
    uint64_t cursor = 0;
    json_t *root;

    memset(text, '\xff', sizeof(text) - 1);
    text[0] = '\n';
    text[1] = '"';
    text[sizeof(text) - 1] = '\0';
    decision.subjects[JOURNAL_VM] = text;
    decision.subjects[JOURNAL_REQUEST] = text;
    decision.cause = text;
    Journal_AddEntry(journal, 0, 1, &decision);
    ck_assert_ptr_nonnull(
        Journal_FindNext(journal, JOURNAL_REQUEST, text, &cursor));
    ck_assert_int_eq(Journal_AppendJson(journal, JOURNAL_ANY, NULL, 9, &out),
                     ST_OK);
    root = json_loads(Buf_Text(&out), 0, NULL);
    ck_assert_uint_eq(json_array_size(root), 1);
    json_decref(root);
    Buf_Clear(&out);
    Journal_AppendText(journal, JOURNAL_ANY, NULL, 9, &out);
    ck_assert_ptr_eq(strchr(Buf_Text(&out), '\n'), out.data + out.len - 1);
    Buf_Free(&out);
    Journal_Free(journal);
}
END_TEST

/* Guards against reports that lack the cause, figures, time or version. */
START_TEST(report_contents)
{
    Journal *journal = create_journal(8);
    Buf out = BUF_INIT;
    json_t *root;
    json_t *entry;

    Journal_AppendText(journal, JOURNAL_POOL, "pay", 9, &out);
    ck_assert_str_eq(
        Buf_Text(&out),
        "2 at 10 ms, version 41: refusal pool=pay request=caller/7: deadline\n"
        "1 at 0 ms, version 40: move vm=vm-1 pool=pay to_pool=book: regret "
        "above cost (regret=12.5, cost=10)\n");
    Buf_Clear(&out);
    ck_assert_int_eq(Journal_AppendJson(journal, JOURNAL_VM, "vm-1", 9, &out),
                     ST_OK);
    root = json_loads(Buf_Text(&out), 0, NULL);
    ck_assert_uint_eq(json_array_size(root), 2);
    entry = json_array_get(root, 1);
    ck_assert_int_eq(json_integer_value(json_object_get(entry, "version")),
                     40);
    ck_assert_double_eq(json_real_value(json_object_get(
                            json_object_get(entry, "figures"), "regret")),
                        12.5);
    json_decref(root);
    Buf_Clear(&out);
    /* An infinite figure is null in JSON. */
    ck_assert_int_eq(
        Journal_AppendJson(journal, JOURNAL_WAVE, "wave-3", 9, &out), ST_OK);
    ck_assert_ptr_nonnull(strstr(Buf_Text(&out), "\"rate\":null"));
    Buf_Clear(&out);
    Journal_AppendText(journal, JOURNAL_ANY, NULL, 0, &out);
    ck_assert_uint_eq(out.len, 0);
    Buf_Free(&out);
    Journal_Free(journal);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("journal");
    TCase *tcase = tcase_create("cases");

    tcase_add_test(tcase, lookup_by_subject);
    tcase_add_test(tcase, ring_keeps_newest_entries);
    tcase_add_test(tcase, texts_are_truncated_and_sanitized);
    tcase_add_test(tcase, report_contents);
    suite_add_tcase(suite, tcase);
    return suite;
}
