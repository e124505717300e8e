#include <stdlib.h>
#include <string.h>

#include "patch.h"
#include "state.h"
#include "statecmd.h"
#include "support.h"

#define MAX_FINDINGS 6
#define HEAD "base: 3\noperator: ann\nrequest_id: r-1\n"

typedef struct PatchCase {
    const char *text;
    struct {
        size_t line;
        const char *path;
    } findings[MAX_FINDINGS];
} PatchCase;

/* Each case guards against an invalid patch that is accepted, or whose
 * findings are incomplete or have a wrong line. */
static const PatchCase invalid_patches[] = {
    {"", {{0, ""}}},
    {"- a\n", {{0, ""}}},
    {"base: x\nset: {pools/web/spare: maybe}\nextra: 1\n",
     {{3, "extra"},
      {1, "base"},
      {0, "operator"},
      {0, "request_id"},
      {2, "pools/web/spare"}}},
    {HEAD, {{0, "set"}}},
    {HEAD "set: [a]\n", {{4, "set"}}},
    {HEAD "delete: {a: b}\n", {{4, "delete"}}},
    {HEAD "set:\n  pools/web/min_size: 1.5\n  pools//min_size: 1\n"
          "  racks/x/y: 1\n  pools/web: 1\n  teams/t/quota: [1]\n",
     {{5, "pools/web/min_size"},
      {6, "pools//min_size"},
      {7, "racks/x/y"},
      {8, "pools/web"},
      {9, "teams/t/quota"}}},
    {HEAD "set:\n  pools/web/min_size: 1\ndelete:\n- pools/web/min_size\n"
          "- pools/web/vms/v1\n",
     {{7, "pools/web/min_size"}, {8, "pools/web/vms/v1"}}},
    {HEAD "set:\n  pools/web/min_size: 1\ndelete: [pools/web]\n",
     {{0, "pools/web/min_size"}}},
    {HEAD "set: {services/a/slo_percent: 100.1, services/a/slo_ms: 0}\n",
     {{4, "services/a/slo_percent"}, {4, "services/a/slo_ms"}}},
    {HEAD "set: {pools/web/vms/v1: yes}\n", {{4, "pools/web/vms/v1"}}},
};

START_TEST(invalid_patches_are_refused)
{
    const PatchCase *patch_case = &invalid_patches[_i];
    Findings *findings = Findings_New("patch");
    size_t i;

    ck_assert(Patch_Parse(patch_case->text, strlen(patch_case->text),
                          findings) == NULL);
    for (i = 0; i < MAX_FINDINGS && patch_case->findings[i].path != NULL;
         i++) {
        const Finding *finding = Findings_Get(findings, i);
        ck_assert_msg(finding != NULL, "%s: finding %zu is missing",
                      patch_case->text, i);
        ck_assert_str_eq(finding->path, patch_case->findings[i].path);
        ck_assert_msg(finding->line == patch_case->findings[i].line,
                      "%s: line %zu for %s", patch_case->text, finding->line,
                      finding->path);
        ck_assert(finding->reason[0] != '\0');
    }
    ck_assert_uint_eq(Findings_Count(findings), i);
    Findings_Free(findings);
}
END_TEST

/* Guards against edits that are lost when a patch is encoded as a command. */
START_TEST(patch_is_encoded_as_a_command)
{
    static const char text[] = HEAD "set:\n  pools/web/max_unavailable: 2\n"
                                    "  services/s/pool: web\n"
                                    "delete: [limits/x]\n";
    Findings *findings = Findings_New("patch");
    ParsedPatch *patch = Patch_Parse(text, strlen(text), findings);
    Buf bytes = BUF_INIT;
    StateCmd command;

    ck_assert(patch != NULL);
    StateCmd_EncodePatch(&bytes, patch);
    ck_assert_int_eq(StateCmd_Decode(bytes.data, bytes.len, &command, NULL),
                     ST_OK);
    ck_assert_int_eq(command.kind, STATE_CMD_PATCH);
    ck_assert_uint_eq(command.base, 3);
    ck_assert_str_eq(command.operator_name, "ann");
    ck_assert_str_eq(command.request_id, "r-1");
    ck_assert_uint_eq(command.edit_count, 3);
    ck_assert_str_eq(command.edits[0].path, "pools/web/max_unavailable");
    ck_assert_str_eq(command.edits[0].value, "2");
    ck_assert(!command.edits[1].is_delete);
    ck_assert(command.edits[2].is_delete);
    ck_assert_str_eq(command.edits[2].path, "limits/x");
    StateCmd_Free(&command);
    Buf_Free(&bytes);
    Patch_Free(patch);
    Findings_Free(findings);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("patch");
    TCase *tcase = tcase_create("patch");

    tcase_add_loop_test(
        tcase, invalid_patches_are_refused, 0,
        (int)(sizeof(invalid_patches) / sizeof(invalid_patches[0])));
    tcase_add_test(tcase, patch_is_encoded_as_a_command);
    suite_add_tcase(suite, tcase);
    return suite;
}
