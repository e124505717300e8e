#include <check.h>
#include <stdio.h>
#include <string.h>

#include "buf.h"
#include "jobcodec.h"
#include "jsonload.h"
#include "platform_wire.h"
#include "support.h"

typedef struct LoadCase {
    const char *name;
    const char *text;
    size_t max_values;
    bool accepted;
} LoadCase;

static const LoadCase load_cases[] = {
    {"an empty object", "{}", 2, true},
    {"elements at the limit", "[1,2,3]", 4, true},
    {"one element too many", "[1,2,3,4]", 4, false},
    {"members count", "{\"a\":1,\"b\":2}", 2, false},
    {"characters in a text do not count", "[\",,,,{[{[\"]", 2, true},
    {"an escaped quote does not end a text", "[\"\\\",,,,,\"]", 2, true},
    {"an escaped backslash before the end", "[\"\\\\\",2,3,4]", 4, false},
    {"levels count", "[[[[[]]]]]", 5, false},
    {"a malformed text is refused by the parser", "[1,2", 8, false},
    {"a text without an end", "[\"a,b", 8, false},
};

START_TEST(documents_have_a_limit_of_values)
{
    const LoadCase *at = &load_cases[_i];
    json_error_t error;
    json_t *root =
        JsonLoad_Parse(at->text, strlen(at->text), 0, at->max_values, &error);

    ck_assert_msg((root != NULL) == at->accepted, "%s", at->name);
    json_decref(root);
}
END_TEST

/* Returns a document of head, count copies of element and tail. */
static Buf
repeat(const char *head, const char *element, size_t count, const char *tail)
{
    Buf text = BUF_INIT;
    size_t i;

    Buf_Printf(&text, "%s", head);
    for (i = 0; i < count; i++) {
        Buf_Printf(&text, "%s%s", i > 0 ? "," : "", element);
    }
    Buf_Printf(&text, "%s", tail);
    return text;
}

typedef struct WireCase {
    const char *name;
    const char *method;
    const char *path;
    const char *head;
    const char *element;
    size_t count;
    const char *tail;
    bool accepted;
} WireCase;

#define QUEUE                                                                 \
    "{\"name\":\"q\",\"host\":\"a\",\"path-prefix\":\"/\",\"service\":\"p\"," \
    "\"timeout-ms\":1}"

static const WireCase wire_cases[] = {
    {"a configuration of empty rows", "PUT", "/api/config",
     "{\"version\":1,\"routes\":[", "{}", 300000, "]}", false},
    {"the most queues of an entry of the log", "PUT", "/api/config",
     "{\"version\":1,\"services\":[],\"routes\":[", QUEUE, 14000, "]}", true},
    {"a wave of all VMs", "PUT", "/api/wave-start",
     "{\"wave\":1,\"duration-s\":1,\"machines\":[", "\"m\"", 29000, "]}",
     true},
    {"a heartbeat of many labels", "PUT", "/api/instances/i-1",
     "{\"labels\":[", "\"a\"", 300000, "]}", false},
};

START_TEST(documents_of_operators_and_targets_are_bounded)
{
    const WireCase *at = &wire_cases[_i];
    Buf text = repeat(at->head, at->element, at->count, at->tail);
    JobHttpRequest http = {at->method, "",       at->path,
                           text.data,  text.len, NULL};
    JobRequest request;

    PlatformWire_Get()->decode_control_request(&http, &request);
    ck_assert_msg((request.error == JOB_ERROR_NONE) == at->accepted, "%s: %s",
                  at->name, request.reason);
    JobRequest_Free(&request);
    Buf_Free(&text);
}
END_TEST

START_TEST(job_of_empty_steps_is_refused_before_it_is_parsed)
{
    Buf text = repeat("{\"spec\":\"s\",\"steps\":[", "{}", 80000, "]}");
    JobQueue queue = {.name = "q", .host = "a", .prefix = "/jobs/"};
    JobConfig config = {.version = 1, .queues = &queue, .queue_count = 1};
    JobHttpRequest http = {"POST",    "a",      "/jobs/0123456789abcdef",
                           text.data, text.len, NULL};
    JobRequest request;

    PlatformWire_Get()->decode_caller_request(&http, &config, &request);
    ck_assert_int_eq(request.error, JOB_ERROR_MALFORMED);
    ck_assert_ptr_nonnull(strstr(request.reason, "too many values"));
    JobRequest_Free(&request);
    Buf_Free(&text);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jsonload");
    TCase *tcase = tcase_create("documents");

    tcase_add_loop_test(tcase, documents_have_a_limit_of_values, 0,
                        sizeof(load_cases) / sizeof(load_cases[0]));
    tcase_add_loop_test(tcase, documents_of_operators_and_targets_are_bounded,
                        0, sizeof(wire_cases) / sizeof(wire_cases[0]));
    tcase_add_test(tcase, job_of_empty_steps_is_refused_before_it_is_parsed);
    suite_add_tcase(suite, tcase);
    return suite;
}
