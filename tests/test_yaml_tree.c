#include <check.h>

#include "buf.h"
#include "support.h"
#include "yaml_tree.h"

typedef struct YamlCase {
    const char *name;
    const char *element;
    size_t count;
    bool accepted;
    const char *finding; /* NULL: none */
} YamlCase;

static const YamlCase yaml_cases[] = {
    {"values at the limit", "1", YAML_TREE_MAX_NODES - 2, true, NULL},
    {"one value too many", "1", YAML_TREE_MAX_NODES - 1, false,
     "more than 131072 values"},
    {"a key twice", "{a: 1, a: 2}", 1, true, "the key stands twice"},
    {"the same key in two maps", "{a: 1, b: {a: 2}}", 2, true, NULL},
};

START_TEST(yaml_trees_are_bounded)
{
    const YamlCase *at = &yaml_cases[_i];
    Buf text = BUF_INIT;
    Findings *findings = Findings_New("document");
    YamlTree *tree;
    size_t i;

    Buf_Printf(&text, "a: [");
    for (i = 0; i < at->count; i++) {
        Buf_Printf(&text, "%s%s", i > 0 ? "," : "", at->element);
    }
    Buf_Printf(&text, "]\n");
    tree = YamlTree_Parse(text.data, text.len, findings);
    ck_assert_msg((tree != NULL) == at->accepted, "%s", at->name);
    ck_assert_uint_eq(Findings_Count(findings), at->finding != NULL);
    if (at->finding != NULL) {
        ck_assert_str_eq(Findings_Get(findings, 0)->reason, at->finding);
    }
    YamlTree_Free(tree);
    Findings_Free(findings);
    Buf_Free(&text);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("yaml_tree");
    TCase *tcase = tcase_create("trees");

    tcase_add_loop_test(tcase, yaml_trees_are_bounded, 0,
                        sizeof(yaml_cases) / sizeof(yaml_cases[0]));
    suite_add_tcase(suite, tcase);
    return suite;
}
