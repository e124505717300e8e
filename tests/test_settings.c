#include "support.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buf.h"
#include "settings.h"

#define HEAD                                                                  \
    "name: a\ncluster: c\ndata_centre: n\npeer: 127.0.0.1:1\n"                \
    "control: 127.0.0.1:2\ntraffic: 127.0.0.1:3\n"
#define PEER "data_centre: n, peer: '127.0.0.1:4', traffic: '127.0.0.1:5'}\n"

typedef struct Expected {
    size_t line;
    const char *path;
    const char *reason; /* substring of the reason */
} Expected;

typedef struct InvalidFile {
    const char *text;
    Expected findings[8]; /* terminated by a NULL path */
} InvalidFile;

#define ENTRY_HEAD                                                            \
    "name: a\ncluster: c\ndata_centre: n\nrole: entry\n"                      \
    "peer: 127.0.0.1:1\nseeds: ['127.0.0.1:9']\n"

static const InvalidFile invalid_files[] = {
    {"", {{1, "", "must be a map"}}},
    {"- a\n", {{1, "", "must be a map"}}},
    {"name: a\nname: b\n" HEAD, {{2, "name", "twice"}, {3, "name", "twice"}}},
    {"name: a\n",
     {{1, "cluster", "is missing"},
      {1, "data_centre", "is missing"},
      {1, "peer", "is missing"},
      {1, "control", "is missing"},
      {1, "traffic", "is missing"}}},
    {HEAD "voter: 3\n", {{7, "voter", "unknown key"}}},
    {HEAD "voters: 0\n", {{7, "voters", "outside 1 to 5"}}},
    {HEAD "voters: 6\n", {{7, "voters", "outside 1 to 5"}}},
    {HEAD "voters: 3.5\n", {{7, "voters", "whole number of nodes"}}},
    {HEAD "voters: 3x\n", {{7, "voters", "whole number of nodes"}}},
    {HEAD "voters: [3]\n", {{7, "voters", "whole number of nodes"}}},
    {HEAD "voters: 99999999999999999999\n",
     {{7, "voters", "whole number of nodes"}}},
    {HEAD "queue_limit: -1\nlog_level: 9\n",
     {{7, "queue_limit", "outside"}, {8, "log_level", "outside 3 to 7"}}},
    {HEAD "heartbeat_ms: 400\n",
     {{0, "heartbeat_ms", "at most a third of election_ms"}}},
    {HEAD "target_suspect_ms: 900\n",
     {{0, "target_heartbeat_ms", "at most half of target_suspect_ms"}}},
    {HEAD "region: a/b\n", {{7, "region", "letters, digits"}}},
    {HEAD "region: ''\n", {{7, "region", "letters, digits"}}},
    {HEAD "data_folder: ''\n", {{7, "data_folder", "must be a path"}}},
    {HEAD "peers: x\n", {{7, "peers", "must be a list"}}},
    {HEAD "peers:\n  - x\n", {{8, "peers[0]", "must be a map"}}},
    {HEAD "peers:\n  - {name: a, " PEER, {{8, "peers", "is used twice"}}},
    {HEAD "peers:\n  - {name: b, " PEER "  - {name: b, " PEER,
     {{9, "peers", "is used twice"}}},
    {HEAD "peers: []\npeers:\n  - {name: a, " PEER,
     {{8, "peers", "stands twice"}}},
    {HEAD "peers:\n  - {name: b}\n", {{8, "peers[0]", "needs name"}}},
    {HEAD "peers:\n  - {nam: b, " PEER, {{8, "peers[0].nam", "unknown key"}}},
    {"name: a\ncluster: c\ndata_centre: n\npeer: localhost:1\n"
     "control: 127.0.0.1:0\ntraffic: 127.0.0.1:65536\n",
     {{4, "peer", "IPv4"}, {5, "control", "IPv4"}, {6, "traffic", "IPv4"}}},
    {"name: a\ncluster: c\ndata_centre: n\npeer: 127.0.0.1\n"
     "control: '127.0.0.1:'\ntraffic: '127.0.0.1:1x'\n",
     {{4, "peer", "IPv4"}, {5, "control", "IPv4"}, {6, "traffic", "IPv4"}}},
    {ENTRY_HEAD, {{1, "traffic", "needs traffic or control"}}},
    {ENTRY_HEAD "traffic: 127.0.0.1:2\n",
     {{1, "ready", "must be given with traffic"}}},
    {ENTRY_HEAD "control: 127.0.0.1:2\nready: 127.0.0.1:3\n",
     {{1, "ready", "must be given with traffic"}}},
};

static size_t
expected_count(const InvalidFile *file)
{
    size_t count = 0;

    while (count < 8 && file->findings[count].path != NULL) {
        count++;
    }
    return count;
}

/* Guards against an invalid file that is accepted, a finding with a wrong line
 * or path, and a loader that stops at the first problem. */
START_TEST(invalid_files_are_refused)
{
    const InvalidFile *file = &invalid_files[_i];
    Settings *settings = malloc(sizeof(*settings));
    Findings *findings = Findings_New("s.yaml");
    size_t i;

    ck_assert_int_eq(
        Settings_Parse(file->text, strlen(file->text), settings, findings),
        ST_INVALID);
    if (Findings_Count(findings) != expected_count(file)) {
        Findings_Print(findings, stderr);
    }
    ck_assert_uint_eq(Findings_Count(findings), expected_count(file));
    for (i = 0; i < Findings_Count(findings); i++) {
        const Finding *finding = Findings_Get(findings, i);
        ck_assert_uint_eq(finding->line, file->findings[i].line);
        ck_assert_str_eq(finding->path, file->findings[i].path);
        ck_assert_msg(strstr(finding->reason, file->findings[i].reason) !=
                          NULL,
                      "reason: %s", finding->reason);
    }
    Findings_Free(findings);
    free(settings);
}
END_TEST

/* Guards against a bound that is refused, and a value beyond it that is
 * accepted. */
START_TEST(bounds_are_inclusive)
{
    size_t count;
    const SettingsEntry *entries = Settings_GetEntries(&count);
    size_t i;

    for (i = 0; i < count; i++) {
        const SettingsEntry *entry = &entries[i];
        const long long values[] = {entry->min, entry->max, entry->min - 1,
                                    entry->max + 1};
        size_t v;
        for (v = 0; v < 4; v++) {
            Settings *settings = malloc(sizeof(*settings));
            Findings *findings = Findings_New("s.yaml");
            bool found = false;
            Buf text = BUF_INIT;
            size_t f;
            Buf_Printf(&text, HEAD "%s: %lld\n", entry->path, values[v]);
            Settings_Parse(text.data, text.len, settings, findings);
            for (f = 0; f < Findings_Count(findings); f++) {
                found = found || Findings_Get(findings, f)->line == 7;
            }
            ck_assert_msg(found == (v >= 2), "%s", Buf_Text(&text));
            Buf_Free(&text);
            Findings_Free(findings);
            free(settings);
        }
    }
}
END_TEST

/* Guards against a value that is stored in the wrong field, and a default that
 * is not applied. */
START_TEST(valid_file_is_parsed)
{
    static const char text[] = HEAD "region: r\ndata_folder: /d\n"
                                    "voters: 5\npeers:\n  - {name: b, " PEER;
    Settings *settings = malloc(sizeof(*settings));
    Findings *findings = Findings_New("s.yaml");

    ck_assert_int_eq(Settings_Parse(text, strlen(text), settings, findings),
                     ST_OK);
    ck_assert_str_eq(settings->name, "a");
    ck_assert_str_eq(settings->cluster, "c");
    ck_assert_str_eq(settings->data_centre, "n");
    ck_assert_str_eq(settings->region, "r");
    ck_assert_str_eq(settings->data_folder, "/d");
    ck_assert_int_eq(settings->peer.port, 1);
    ck_assert_int_eq(settings->control.port, 2);
    ck_assert_int_eq(settings->traffic.port, 3);
    ck_assert_int_eq(settings->voters, 5);
    ck_assert_int_eq(settings->election_ms, 1000);
    ck_assert_uint_eq(settings->peer_count, 1);
    ck_assert_str_eq(settings->peers[0].name, "b");
    ck_assert_int_eq(settings->peers[0].peer.port, 4);
    ck_assert_int_eq(settings->peers[0].traffic.port, 5);
    Findings_Free(findings);
    free(settings);
}
END_TEST

static const char *const entry_files[] = {
    ENTRY_HEAD "control: 127.0.0.1:2\nseed_peer_port: 4\n",
    ENTRY_HEAD "traffic: 127.0.0.1:2\nready: 127.0.0.1:3\n",
    ENTRY_HEAD "traffic: 127.0.0.1:2\nready: 127.0.0.1:3\n"
               "control: 127.0.0.1:4\n",
};

/* Guards against an entry VM that must serve both callers and operators. */
START_TEST(entry_vm_serves_callers_or_operators)
{
    const char *text = entry_files[_i];
    Settings *settings = malloc(sizeof(*settings));
    Findings *findings = Findings_New("s.yaml");

    ck_assert_int_eq(Settings_Parse(text, strlen(text), settings, findings),
                     ST_OK);
    Findings_Free(findings);
    free(settings);
}
END_TEST

/* Guards against a reference page or manual page that differs from the table
 * of settings. */
START_TEST(pages_match_entries)
{
    size_t count;
    const SettingsEntry *entries = Settings_GetEntries(&count);
    Buf page = BUF_INIT;
    Buf manual = BUF_INIT;
    const char *const files[] = {"docs/settings.md",
                                 "man/coltsfoot-settings.5"};
    Buf *const texts[] = {&page, &manual};
    size_t rows = 0;
    const char *at;
    size_t i;

    for (i = 0; i < 2; i++) {
        FILE *in = fopen(files[i], "rb");
        char part[4096];
        size_t len;
        ck_assert_msg(in != NULL, "%s", files[i]);
        while ((len = fread(part, 1, sizeof(part), in)) > 0) {
            Buf_Append(texts[i], part, len);
        }
        fclose(in);
    }
    for (i = 0; i < count; i++) {
        const SettingsEntry *entry = &entries[i];
        Buf line = BUF_INIT;
        Buf_Printf(&line, "| `%s` | %s | %lld | %lld | %lld | %s |\n",
                   entry->path, entry->unit, entry->default_value, entry->min,
                   entry->max, entry->description);
        ck_assert_msg(strstr(Buf_Text(&page), Buf_Text(&line)) != NULL,
                      "missing: %s", Buf_Text(&line));
        Buf_Clear(&line);
        Buf_Printf(&line, "In %s; default %lld, from %lld to %lld.\n",
                   entry->unit, entry->default_value, entry->min, entry->max);
        at = strstr(Buf_Text(&manual), entry->path);
        ck_assert_msg(at != NULL && strstr(at, Buf_Text(&line)) != NULL,
                      "manual: %s", entry->path);
        Buf_Free(&line);
    }
    at = strstr(Buf_Text(&page), "## Numbers");
    ck_assert(at != NULL);
    while ((at = strstr(at, "\n| `")) != NULL) {
        rows++;
        at++;
    }
    ck_assert_uint_eq(rows, count);
    Buf_Free(&page);
    Buf_Free(&manual);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("settings");
    TCase *tcase = tcase_create("files");

    tcase_add_loop_test(tcase, invalid_files_are_refused, 0,
                        sizeof(invalid_files) / sizeof(invalid_files[0]));
    tcase_add_test(tcase, bounds_are_inclusive);
    tcase_add_test(tcase, valid_file_is_parsed);
    tcase_add_loop_test(tcase, entry_vm_serves_callers_or_operators, 0,
                        sizeof(entry_files) / sizeof(entry_files[0]));
    tcase_add_test(tcase, pages_match_entries);
    suite_add_tcase(suite, tcase);
    return suite;
}
