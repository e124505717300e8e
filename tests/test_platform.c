#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "platform_wire.h"
#include "support.h"

static const JobWire *wire;

static void
setup(void)
{
    wire = PlatformWire_Get();
}

static void
decode_control_request(const char *method, const char *path, const char *body,
                       JobRequest *request)
{
    JobHttpRequest http = {method, "", path, body, strlen(body), NULL};

    wire->decode_control_request(&http, request);
}

typedef struct ControlCase {
    const char *name;
    const char *method;
    const char *path;
    const char *body;
    JobRequestKind kind;
    JobRequestError error;
} ControlCase;

#define HEARTBEAT                                                             \
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","          \
    "\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"mem-mb\":32768},"      \
    "\"labels\":[\"a\",\"r1-3\"],\"clock-ms\":7,\"seq\":4"

#define BYTES_50 "12345678901234567890123456789012345678901234567890"
#define BYTES_200 BYTES_50 BYTES_50 BYTES_50 BYTES_50

static const ControlCase control_cases[] = {
    {"a heartbeat", "PUT", "/api/instances/i-1", HEARTBEAT "}",
     JOB_REQUEST_ANNOUNCE, JOB_ERROR_NONE},
    {"an unknown state", "PUT", "/api/instances/i-1",
     HEARTBEAT ",\"state\":\"odd\"}", JOB_REQUEST_ANNOUNCE,
     JOB_ERROR_MALFORMED},
    {"a start time of another type", "PUT", "/api/instances/i-1",
     HEARTBEAT ",\"born\":\"x\"}", JOB_REQUEST_ANNOUNCE, JOB_ERROR_MALFORMED},
    {"no capacity", "PUT", "/api/instances/i-1",
     "{\"service\":\"s\",\"address\":\"a:1\",\"zone\":\"z\","
     "\"state\":\"ready\",\"clock-ms\":7,\"seq\":4}",
     JOB_REQUEST_ANNOUNCE, JOB_ERROR_MALFORMED},
    {"bytes that are no JSON", "PUT", "/api/instances/i-1", "\xff\xfe{",
     JOB_REQUEST_ANNOUNCE, JOB_ERROR_MALFORMED},
    {"a target without an id", "PUT", "/api/instances/", HEARTBEAT "}",
     JOB_REQUEST_ANNOUNCE, JOB_ERROR_MALFORMED},
    {"a departure", "DELETE", "/api/instances/i-1", "", JOB_REQUEST_LEAVE,
     JOB_ERROR_NONE},
    {"a configuration that is cut short", "PUT", "/api/config",
     "{\"version\":3,\"routes\":[", JOB_REQUEST_PUT_CONFIG,
     JOB_ERROR_MALFORMED},
    {"a configuration without services", "PUT", "/api/config",
     "{\"version\":3,\"routes\":[]}", JOB_REQUEST_PUT_CONFIG,
     JOB_ERROR_MALFORMED},
    {"a version of another type", "PUT", "/api/config",
     "{\"version\":\"3\",\"routes\":[],\"services\":[]}",
     JOB_REQUEST_PUT_CONFIG, JOB_ERROR_MALFORMED},
    {"an empty configuration", "PUT", "/api/config",
     "{\"version\":3,\"routes\":[],\"services\":[]}", JOB_REQUEST_PUT_CONFIG,
     JOB_ERROR_NONE},
    {"a read of the configuration", "GET", "/api/config", "",
     JOB_REQUEST_GET_CONFIG, JOB_ERROR_NONE},
    {"a wave", "POST", "/api/wave-start",
     "{\"wave\":1,\"machines\":[\"m-1\"],\"duration-s\":20.5,\"cap\":1}",
     JOB_REQUEST_PUT_WAVE, JOB_ERROR_NONE},
    {"a wave with a VM name of 250 bytes", "POST", "/api/wave-start",
     "{\"wave\":1,\"machines\":[\"" BYTES_200 BYTES_50 "\"],"
     "\"duration-s\":20}",
     JOB_REQUEST_PUT_WAVE, JOB_ERROR_NONE},
    {"a wave with a VM name of 260 bytes", "POST", "/api/wave-start",
     "{\"wave\":1,\"machines\":[\"" BYTES_200 BYTES_50 "1234567890\"],"
     "\"duration-s\":20}",
     JOB_REQUEST_PUT_WAVE, JOB_ERROR_MALFORMED},
    {"a wave with an empty VM name", "POST", "/api/wave-start",
     "{\"wave\":1,\"machines\":[\"\"],\"duration-s\":20}",
     JOB_REQUEST_PUT_WAVE, JOB_ERROR_MALFORMED},
    {"a wave of a duration that no number of ms holds", "POST",
     "/api/wave-start",
     "{\"wave\":1,\"machines\":[\"m-1\"],\"duration-s\":1e300}",
     JOB_REQUEST_PUT_WAVE, JOB_ERROR_MALFORMED},
    {"a heartbeat with a VM name of 250 bytes", "PUT", "/api/instances/i-1",
     HEARTBEAT ",\"machine\":\"" BYTES_200 BYTES_50 "\"}",
     JOB_REQUEST_ANNOUNCE, JOB_ERROR_NONE},
    {"a heartbeat with more labels than are kept", "PUT", "/api/instances/i-1",
     HEARTBEAT ",\"labels\":[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\","
               "\"9\"]}",
     JOB_REQUEST_ANNOUNCE, JOB_ERROR_MALFORMED},
    {"a wave without machines", "POST", "/api/wave-start", "{\"wave\":1}",
     JOB_REQUEST_PUT_WAVE, JOB_ERROR_MALFORMED},
    {"an unknown path", "GET", "/other", "", JOB_REQUEST_NONE, JOB_ERROR_NONE},
};

START_TEST(control_requests_are_decoded)
{
    const ControlCase *row = &control_cases[_i];
    JobRequest request;

    decode_control_request(row->method, row->path, row->body, &request);
    ck_assert_msg(request.kind == row->kind, "%s: kind %d", row->name,
                  (int)request.kind);
    ck_assert_msg(request.error == row->error, "%s: error %d (%s)", row->name,
                  (int)request.error, request.reason);
    JobRequest_Free(&request);
}
END_TEST

#define ROUTE(members)                                                        \
    "{\"version\":3,\"routes\":[{" members "}],"                              \
    "\"services\":[{\"name\":\"p\",\"health-check\":\"/healthz\"}]}"
#define NAMES                                                                 \
    "\"name\":\"q\",\"host\":\"a.example\",\"path-prefix\":\"/q/\","          \
    "\"service\":\"p\","

typedef struct ConfigCase {
    const char *name;
    const char *body;
    uint32_t timeout_ms; /* expected values of the first queue */
    uint32_t max_attempts;
    const char *reason; /* part of the reason, or NULL if it is accepted */
} ConfigCase;

static const ConfigCase config_cases[] = {
    {"a route", ROUTE(NAMES "\"timeout-ms\":3000,\"max-attempts\":4"), 3000, 4,
     NULL},
    {"no number of attempts", ROUTE(NAMES "\"timeout-ms\":3000"), 3000, 1,
     NULL},
    {"0 attempts, which protocol encoders may omit",
     ROUTE(NAMES "\"timeout-ms\":3000,\"max-attempts\":0"), 3000, 1, NULL},
    {"a whole number with a fraction part",
     ROUTE(NAMES "\"timeout-ms\":3000.0,\"max-attempts\":4"), 3000, 4, NULL},
    {"a number with an exponent",
     ROUTE(NAMES "\"timeout-ms\":3e3,\"max-attempts\":4"), 3000, 4, NULL},
    {"a fraction of a millisecond",
     ROUTE(NAMES "\"timeout-ms\":2999.6,\"max-attempts\":4"), 3000, 4, NULL},
    {"a fraction that must not become 0",
     ROUTE(NAMES "\"timeout-ms\":0.2,\"max-attempts\":4"), 1, 4, NULL},
    {"a number beyond 32 bits",
     ROUTE(NAMES "\"timeout-ms\":5000000000,\"max-attempts\":4"), UINT32_MAX,
     4, NULL},
    {"an advisor with fractions",
     ROUTE(NAMES "\"timeout-ms\":3000,\"max-attempts\":4,\"advisor\":"
                 "{\"decision-ms\":0.5,\"validity-ms\":1500.0}"),
     3000, 4, NULL},
    {"a long host and a long prefix",
     ROUTE("\"name\":\"q\",\"host\":\"" BYTES_200 ".example\","
           "\"path-prefix\":\"/" BYTES_200 "/\",\"service\":\"p\","
           "\"timeout-ms\":3000,\"max-attempts\":4"),
     3000, 4, NULL},
    {"a long path of the health check",
     "{\"version\":3,\"routes\":[{" NAMES "\"timeout-ms\":3000,"
     "\"max-attempts\":4}],"
     "\"services\":[{\"name\":\"p\",\"health-check\":\"/" BYTES_200 "\"}]}",
     3000, 4, NULL},
    {"a version with a fraction part",
     "{\"version\":3.0,\"routes\":[{" NAMES "\"timeout-ms\":3000,"
     "\"max-attempts\":4}],\"services\":[{\"name\":\"p\"}]}",
     3000, 4, NULL},
    {"a version that is no whole number",
     "{\"version\":3.5,\"routes\":[],\"services\":[]}", 0, 0, "version: "},
    {"a negative number", ROUTE(NAMES "\"timeout-ms\":-1"), 0, 0,
     "routes[0].timeout-ms: "},
    {"a number of another type", ROUTE(NAMES "\"timeout-ms\":\"3000\""), 0, 0,
     "routes[0].timeout-ms: "},
    {"no host",
     ROUTE("\"name\":\"q\",\"path-prefix\":\"/q/\","
           "\"service\":\"p\",\"timeout-ms\":3000"),
     0, 0, "routes[0].host: "},
    {"a name that is too long",
     ROUTE("\"name\":\"" BYTES_200 "\",\"host\":\"h\",\"path-prefix\":"
           "\"/q/\",\"service\":\"p\",\"timeout-ms\":3000"),
     0, 0, "routes[0].name: must be a text of 1 to 71 bytes"},
    {"a route that is no object",
     "{\"version\":3,\"routes\":[7],\"services\":[]}", 0, 0,
     "routes[0]: must be an object"},
    {"a flag of another type",
     "{\"version\":3,\"routes\":[],\"services\":[{\"name\":\"p\","
     "\"standby\":\"no\"}]}",
     0, 0, "services[0].standby: "},
};

/* Guards against a 400 for a configuration that the protocol allows, and
 * against one without the member and the reason. */
START_TEST(configurations_are_decoded)
{
    const ConfigCase *row = &config_cases[_i];
    JobRequest request;

    decode_control_request("PUT", "/api/config", row->body, &request);
    if (row->reason != NULL) {
        ck_assert_msg(request.error == JOB_ERROR_MALFORMED, "%s: accepted",
                      row->name);
        ck_assert_msg(strstr(request.reason, row->reason) != NULL, "%s: %s",
                      row->name, request.reason);
    }
    else {
        ck_assert_msg(request.error == JOB_ERROR_NONE, "%s: %s", row->name,
                      request.reason);
        ck_assert_uint_eq(request.config.version, 3);
        ck_assert_uint_eq(request.config.queues[0].timeout_ms,
                          row->timeout_ms);
        ck_assert_uint_eq(request.config.queues[0].max_attempts,
                          row->max_attempts);
    }
    JobRequest_Free(&request);
}
END_TEST

static const struct {
    const char *text;
    JobClientLimits limits;
} limits_cases[] = {
    {"{\"version\":3,\"limits\":{\"max-header-bytes\":16384,"
     "\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
     "\"idle-timeout-ms\":15000}}",
     {16384, 262144, 3000, 15000}},
    {"{\"limits\":{\"max-body-bytes\":\"many\",\"idle-timeout-ms\":5}}",
     {0, 0, 0, 5}},
    {"{\"version\":3}", {0, 0, 0, 0}},
    {"{\"limits\":7}", {0, 0, 0, 0}},
    {"not JSON", {0, 0, 0, 0}},
};

/* Guards against limits for callers that are lost, and against a stored text
 * without valid ones that ends the process. */
START_TEST(limits_for_callers_are_decoded)
{
    JobClientLimits limits;

    wire->decode_client_limits(limits_cases[_i].text,
                               strlen(limits_cases[_i].text), &limits);
    ck_assert_mem_eq(&limits, &limits_cases[_i].limits, sizeof(limits));
}
END_TEST

START_TEST(heartbeat_is_decoded_whole)
{
    JobRequest request;
    const JobAnnouncement *announcement = &request.announcement;

    decode_control_request(
        "PUT", "/api/instances/i-1",
        HEARTBEAT ",\"machine\":\"m-7\",\"born\":1784492594199}", &request);
    ck_assert_str_eq(announcement->id, "i-1");
    ck_assert_str_eq(announcement->pool, "s");
    ck_assert_str_eq(announcement->vm, "m-7");
    ck_assert_uint_eq(announcement->room.cpu, 16000);
    ck_assert_uint_eq(announcement->born, 1784492594199ULL);
    ck_assert_uint_eq(announcement->label_count, 2);
    ck_assert_int_eq(announcement->clock_ms, 7);
    ck_assert(!announcement->leaving);
    JobRequest_Free(&request);
}
END_TEST

typedef struct CallerCase {
    const char *name;
    const char *method;
    const char *path;
    const char *body;
    JobRequestKind kind;
    JobRequestError error;
} CallerCase;

#define JOB_ID "5c0e7a21d94b36f8"

static const CallerCase caller_cases[] = {
    {"a job", "POST", "/q/" JOB_ID,
     "{\"spec\":\"x\",\"steps\":[{\"count\":2}]}", JOB_REQUEST_SUBMIT,
     JOB_ERROR_NONE},
    {"steps of which one depends on itself", "POST", "/q/" JOB_ID,
     "{\"steps\":[{\"count\":1,\"depends-on\":[0]}]}", JOB_REQUEST_SUBMIT,
     JOB_ERROR_MALFORMED},
    {"a step without tasks", "POST", "/q/" JOB_ID, "{\"steps\":[{\"cpu\":5}]}",
     JOB_REQUEST_SUBMIT, JOB_ERROR_MALFORMED},
    {"no steps", "POST", "/q/" JOB_ID, "{\"spec\":\"x\"}", JOB_REQUEST_SUBMIT,
     JOB_ERROR_MALFORMED},
    {"an id that is too short", "POST", "/q/12", "{\"steps\":[{\"count\":1}]}",
     JOB_REQUEST_SUBMIT, JOB_ERROR_MALFORMED},
    {"a read of a job's state", "GET", "/q/" JOB_ID, "", JOB_REQUEST_STATE,
     JOB_ERROR_NONE},
    {"a request to cancel", "DELETE", "/q/" JOB_ID, "", JOB_REQUEST_CANCEL,
     JOB_ERROR_NONE},
    {"a count of pending jobs", "GET", "/q/", "", JOB_REQUEST_PENDING,
     JOB_ERROR_NONE},
    {"an unknown queue", "GET", "/x/", "", JOB_REQUEST_STATE,
     JOB_ERROR_NO_QUEUE},
};

START_TEST(caller_requests_are_decoded)
{
    const CallerCase *row = &caller_cases[_i];
    JobQueue queue = {.name = "q", .host = "h", .prefix = "/q/"};
    JobConfig config = {1, &queue, 1, NULL, 0, NULL, 0, NULL, 0};
    JobHttpRequest http = {row->method,       "h", row->path, row->body,
                           strlen(row->body), NULL};
    JobRequest request;

    wire->decode_caller_request(&http, &config, &request);
    ck_assert_msg(request.kind == row->kind, "%s: kind %d", row->name,
                  (int)request.kind);
    ck_assert_msg(request.error == row->error, "%s: error %d (%s)", row->name,
                  (int)request.error, request.reason);
    JobRequest_Free(&request);
}
END_TEST

typedef struct AnswerCase {
    const char *name;
    JobActionKind kind;
    int status;
    const char *body;
    JobCallOutcome outcome;
} AnswerCase;

#define LISTS(running, finished)                                              \
    "{\"clock-ms\":5,\"running\":[" running "],\"finished\":[" finished "]}"

static const AnswerCase answer_cases[] = {
    {"accepted", JOB_ACTION_START, 200, "{\"clock-ms\":5}", JOB_CALL_OK},
    {"reason fence", JOB_ACTION_START, 409,
     "{\"clock-ms\":5,\"reason\":\"fence\"}", JOB_CALL_FENCED},
    {"reason old", JOB_ACTION_START, 409, "{\"reason\":\"old\"}",
     JOB_CALL_STALE},
    {"reason late", JOB_ACTION_START, 409, "{\"reason\":\"late\"}",
     JOB_CALL_LATE},
    {"reason room", JOB_ACTION_START, 409, "{\"reason\":\"room\"}",
     JOB_CALL_NO_ROOM},
    {"reason ticket", JOB_ACTION_START, 409, "{\"reason\":\"ticket\"}",
     JOB_CALL_NO_ROOM},
    {"another instance at the address", JOB_ACTION_HOLD, 421, "",
     JOB_CALL_OTHER_INSTANCE},
    {"an unhealthy target", JOB_ACTION_START, 503, "", JOB_CALL_UNHEALTHY},
    {"no answer", JOB_ACTION_HOLD, 0, "", JOB_CALL_NO_ANSWER},
    {"a hold without its lists", JOB_ACTION_HOLD, 200, "{\"clock-ms\":5}",
     JOB_CALL_NO_ANSWER},
    {"a hold that is cut short", JOB_ACTION_HOLD, 200, "{\"running\":[",
     JOB_CALL_NO_ANSWER},
    {"a hold", JOB_ACTION_HOLD, 200,
     LISTS("[\"" JOB_ID ".0.1.17\",2,\"\",41]", ""), JOB_CALL_OK},
    {"a foreign run", JOB_ACTION_HOLD, 200, LISTS("[\"odd\",2,\"\",41]", ""),
     JOB_CALL_OK},
    {"a running row of another type", JOB_ACTION_HOLD, 200, LISTS("7", ""),
     JOB_CALL_NO_ANSWER},
    {"a running row without a name", JOB_ACTION_HOLD, 200,
     LISTS("[7,2,\"\",41]", ""), JOB_CALL_NO_ANSWER},
    {"an attempt of another type", JOB_ACTION_HOLD, 200,
     LISTS("[\"" JOB_ID ".0.1.17\",\"2\",\"\",41]", ""), JOB_CALL_NO_ANSWER},
    {"an end without a number", JOB_ACTION_HOLD, 200,
     LISTS("", "[null,\"" JOB_ID ".0.1.9\",1,\"done\",\"\"]"),
     JOB_CALL_NO_ANSWER},
    {"an end of an unknown kind", JOB_ACTION_HOLD, 200,
     LISTS("", "[58,\"" JOB_ID ".0.1.9\",1,\"dome\",\"\"]"),
     JOB_CALL_NO_ANSWER},
    {"a list that comes twice", JOB_ACTION_HOLD, 200,
     "{\"running\":[[\"" JOB_ID ".0.1.17\",2,\"\",41]],\"finished\":[],"
     "\"running\":[]}",
     JOB_CALL_NO_ANSWER},
};

/* Guards against a run that counts as ended, or an end that is acknowledged
 * unread, as a row of the target's lists cannot be read. */
START_TEST(target_answers_are_decoded)
{
    const AnswerCase *row = &answer_cases[_i];
    JobAction action = {.kind = row->kind};
    JobWireAnswer answer;

    wire->decode_target_answer(&action, row->status, row->body,
                               strlen(row->body), &answer);
    ck_assert_msg(answer.answer.outcome == row->outcome, "%s: outcome %d",
                  row->name, (int)answer.answer.outcome);
    JobWireAnswer_Free(&answer);
}
END_TEST

START_TEST(hold_lists_are_decoded)
{
    static const char body[] =
        "{\"clock-ms\":482113,\"born\":9,"
        "\"running\":[[\"" JOB_ID ".0.1.17\",2,\"c1\",41,30]],"
        "\"finished\":[[58,\"" JOB_ID ".0.1.9\",1,\"done\",\"\"],"
        "[59,\"" JOB_ID
        ".3.2.1\",4,\"lapsed\",\"c2\"],[60,\"odd\",1,\"done\"]]}";
    JobAction action = {.kind = JOB_ACTION_HOLD};
    JobWireAnswer answer;

    wire->decode_target_answer(&action, 200, body, strlen(body), &answer);
    ck_assert_int_eq(answer.answer.clock_ms, 482113);
    ck_assert_uint_eq(answer.answer.born, 9);
    ck_assert_uint_eq(answer.answer.running_count, 1);
    ck_assert_uint_eq(answer.running[0].task.index, 17);
    ck_assert_uint_eq(answer.running[0].percent, 41);
    ck_assert_uint_eq(answer.running[0].load, 30);
    ck_assert_uint_eq(answer.answer.end_count, 3);
    ck_assert_str_eq(answer.ends[2].task.job, ""); /* no run of this system */
    ck_assert_uint_eq(answer.ends[2].number, 60);
    ck_assert_int_eq(answer.ends[0].kind, JOB_END_DONE);
    ck_assert_uint_eq(answer.ends[0].number, 58);
    ck_assert_uint_eq(answer.ends[1].task.occurrence, 3);
    ck_assert_int_eq(answer.ends[1].kind, JOB_END_LAPSED);
    ck_assert_str_eq(answer.ends[1].checkpoint, "c2");
    JobWireAnswer_Free(&answer);
}
END_TEST

START_TEST(start_call_is_encoded)
{
    JobAction action = {.kind = JOB_ACTION_START,
                        .attempt = 2,
                        .fence = 7,
                        .deadline_ms = 486000,
                        .text = "(text)",
                        .checkpoint = "c1"};
    JobHttpCall call;

    snprintf(action.id, sizeof(action.id), "i-1");
    snprintf(action.task.job, sizeof(action.task.job), JOB_ID);
    action.task.step = 1;
    action.task.index = 17;
    wire->encode_target_call(&action, &call);
    ck_assert_str_eq(call.path, "/api/run-start");
    ck_assert_str_eq(call.header_names[0], "X-Expected-Instance");
    ck_assert_str_eq(call.header_values[0], "i-1");
    ck_assert_ptr_nonnull(
        strstr(Buf_Text(&call.body), "\"task\":\"" JOB_ID ".0.1.17\""));
    ck_assert_ptr_nonnull(
        strstr(Buf_Text(&call.body), "\"checkpoint\":\"c1\""));
    Buf_Free(&call.body);
}
END_TEST

/* Guards against a list of VMs that ends early, as the token of its next page
 * is long or has bytes that a URL cannot have. */
START_TEST(page_token_is_sent_back_whole)
{
    static const struct {
        size_t len;
        const char *end;
        const char *encoded_end;
    } cases[] = {
        {16, "", ""},    {71, "", ""},
        {72, "", ""},    {96, "", ""},
        {4000, "", ""},  {16, "&a=b c%2F+/", "%26a%3Db%20c%252F%2B%2F"},
        {0, "=", "%3D"},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        JobVmCall call = {.kind = JOB_VM_LIST};
        JobVmAnswer answer;
        JobHttpCall http;
        Buf body = BUF_INIT;
        Buf query = BUF_INIT;
        size_t k;

        Buf_Printf(&body, "{\"machines\":[],\"next-token\":\"");
        Buf_Printf(&query, "?page-token=");
        for (k = 0; k < cases[i].len; k++) {
            Buf_Printf(&body, "x");
            Buf_Printf(&query, "x");
        }
        Buf_Printf(&body, "%s\"}", cases[i].end);
        Buf_Printf(&query, "%s", cases[i].encoded_end);
        wire->decode_vm_answer(&call, 200, body.data, body.len, &answer);
        ck_assert_int_eq(answer.outcome, JOB_VM_OK);
        ck_assert_ptr_nonnull(answer.next_page);
        call.page = answer.next_page;
        wire->encode_vm_call(&call, &http);
        ck_assert_str_eq(http.path, "/api/machines");
        ck_assert_str_eq(Buf_Text(&http.query), Buf_Text(&query));
        JobVmAnswer_Free(&answer);
        Buf_Free(&http.query);
        Buf_Free(&body);
        Buf_Free(&query);
    }
}
END_TEST

/* Guards against a list of VMs that counts as complete although the rest of it
 * cannot be asked for. */
START_TEST(list_with_unreadable_token_is_not_complete)
{
    static const char *const bodies[] = {
        "{\"machines\":[],\"next-token\":7}",
        "{\"machines\":[],\"next-token\":{}}",
        "{\"machines\":[],\"next-token\":\"a\\u0000b\"}",
    };
    static const char *const last[] = {
        "{\"machines\":[]}",
        "{\"machines\":[],\"next-token\":null}",
        "{\"machines\":[],\"next-token\":\"\"}",
    };
    JobVmCall call = {.kind = JOB_VM_LIST};
    JobVmAnswer answer;
    size_t i;

    for (i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
        wire->decode_vm_answer(&call, 200, bodies[i], strlen(bodies[i]),
                               &answer);
        ck_assert_int_eq(answer.outcome, JOB_VM_AGAIN);
        JobVmAnswer_Free(&answer);
        wire->decode_vm_answer(&call, 200, last[i], strlen(last[i]), &answer);
        ck_assert_int_eq(answer.outcome, JOB_VM_OK);
        ck_assert_ptr_null(answer.next_page);
        JobVmAnswer_Free(&answer);
    }
}
END_TEST

typedef struct RowCase {
    const char *name;
    const char *row;
    bool named; /* the row says that a VM is there */
    const char *unusable_field;
} RowCase;

#define ROW(name, members) "{\"machine\":\"" name "\"," members "}"
#define UP "\"pool\":\"p\",\"state\":\"up\",\"id\":\"t1\""

static const RowCase row_cases[] = {
    {"a row", ROW("v1", UP), true, NULL},
    {"a capacity with a fraction part",
     ROW("v1", UP ",\"capacity\":{\"cpu\":16000.0}"), true, NULL},
    {"a capacity of another type",
     ROW("v1", UP ",\"capacity\":{\"cpu\":\"16000\"}"), true, "capacity.cpu"},
    {"long fields that no order needs",
     ROW("v1", UP ",\"zone\":\"" BYTES_200 "\",\"labels\":[\"a\",\"" BYTES_200
                  "\"]"),
     true, NULL},
    {"a long pool", ROW("v1", "\"pool\":\"" BYTES_200 "\",\"state\":\"up\""),
     true, "pool"},
    {"a long target id",
     ROW("v1", "\"pool\":\"p\",\"state\":\"up\","
               "\"id\":\"" BYTES_200 "\""),
     true, "id"},
    {"an unknown state",
     ROW("v1", "\"pool\":\"p\",\"state\":\"paused\",\"id\":\"t1\""), true,
     "state"},
    {"a long state", ROW("v1", "\"pool\":\"p\",\"state\":\"" BYTES_50 "\""),
     true, "state"},
    {"no state", ROW("v1", "\"pool\":\"p\",\"id\":\"t1\""), true, "state"},
    {"a name of 250 bytes", ROW(BYTES_200 BYTES_50, UP), true, NULL},
    {"a name of 260 bytes", ROW(BYTES_200 BYTES_50 "1234567890", UP), false,
     NULL},
    {"no name", "{" UP "}", false, NULL},
    {"an empty name", ROW("", UP), false, NULL},
    {"a name of another type", "{\"machine\":7," UP "}", false, NULL},
    {"a row that is no object", "7", false, NULL},
};

/* Guards against a VM that counts as removed because a field of its row cannot
 * be read. */
START_TEST(row_that_names_a_vm_says_that_it_exists)
{
    const RowCase *row = &row_cases[_i];
    JobVmCall call = {.kind = JOB_VM_LIST};
    JobVmAnswer answer;
    Buf body = BUF_INIT;

    Buf_Printf(&body, "{\"machines\":[%s," ROW("v2", UP) "]}", row->row);
    wire->decode_vm_answer(&call, 200, body.data, body.len, &answer);
    ck_assert_int_eq(answer.outcome, JOB_VM_OK);
    ck_assert_msg(answer.vm_count == (row->named ? 2 : 1), "%s", row->name);
    ck_assert_uint_eq(answer.unnamed_count, row->named ? 0 : 1);
    ck_assert_str_eq(answer.vms[answer.vm_count - 1].name, "v2");
    ck_assert_ptr_null(answer.vms[answer.vm_count - 1].unusable_field);
    if (row->named && row->unusable_field != NULL) {
        ck_assert_str_eq(answer.vms[0].unusable_field, row->unusable_field);
    }
    else {
        ck_assert_msg(answer.vms[0].unusable_field == NULL, "%s", row->name);
    }
    JobVmAnswer_Free(&answer);
    Buf_Free(&body);
}
END_TEST

/* Guards against a list that is shorter than the service sent it. */
START_TEST(page_that_cannot_be_read_is_not_shorter)
{
    static const char *const bodies[] = {
        "",
        "{\"machines\":[" ROW("v1", UP),
        "{\"machines\":[" ROW("v1", UP) "]} {}",
        "{\"machines\":[" ROW("v1", UP) "],\"machines\":[]}",
        "{\"machines\":{}}",
        "{\"machines\":null}",
        "[]",
    };
    JobVmCall call = {.kind = JOB_VM_LIST};
    JobVmAnswer answer;
    size_t i;

    for (i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
        wire->decode_vm_answer(&call, 200, bodies[i], strlen(bodies[i]),
                               &answer);
        ck_assert_msg(answer.outcome == JOB_VM_AGAIN, "%s", bodies[i]);
        ck_assert_ptr_nonnull(answer.why);
        JobVmAnswer_Free(&answer);
    }
}
END_TEST

START_TEST(reply_statuses_show_whether_work_was_accepted)
{
    static const struct {
        JobReplyKind kind;
        int status;
    } cases[] = {
        {JOB_REPLY_OK, 200},       {JOB_REPLY_NOT_FOUND, 404},
        {JOB_REPLY_GONE, 410},     {JOB_REPLY_INVALID, 400},
        {JOB_REPLY_REJECTED, 429}, {JOB_REPLY_UNAVAILABLE, 503},
        {JOB_REPLY_UNKNOWN, 504},  {JOB_REPLY_TOO_LARGE, 413},
        {JOB_REPLY_DENIED, 401},   {JOB_REPLY_CONFLICT, 409},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        JobReply reply = {.kind = cases[i].kind, .reason = "r"};
        Buf body = BUF_INIT;
        ck_assert_int_eq(wire->encode_reply(JOB_REQUEST_SUBMIT, &reply, &body),
                         cases[i].status);
        Buf_Free(&body);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("platform");
    TCase *tcase = tcase_create("wire");

    tcase_add_checked_fixture(tcase, setup, NULL);
    tcase_add_loop_test(tcase, control_requests_are_decoded, 0,
                        sizeof(control_cases) / sizeof(control_cases[0]));
    tcase_add_loop_test(tcase, configurations_are_decoded, 0,
                        sizeof(config_cases) / sizeof(config_cases[0]));
    tcase_add_loop_test(tcase, limits_for_callers_are_decoded, 0,
                        sizeof(limits_cases) / sizeof(limits_cases[0]));
    tcase_add_test(tcase, heartbeat_is_decoded_whole);
    tcase_add_loop_test(tcase, caller_requests_are_decoded, 0,
                        sizeof(caller_cases) / sizeof(caller_cases[0]));
    tcase_add_loop_test(tcase, target_answers_are_decoded, 0,
                        sizeof(answer_cases) / sizeof(answer_cases[0]));
    tcase_add_test(tcase, hold_lists_are_decoded);
    tcase_add_test(tcase, start_call_is_encoded);
    tcase_add_test(tcase, reply_statuses_show_whether_work_was_accepted);
    tcase_add_test(tcase, page_token_is_sent_back_whole);
    tcase_add_test(tcase, list_with_unreadable_token_is_not_complete);
    tcase_add_loop_test(tcase, row_that_names_a_vm_says_that_it_exists, 0,
                        sizeof(row_cases) / sizeof(row_cases[0]));
    tcase_add_test(tcase, page_that_cannot_be_read_is_not_shorter);
    suite_add_tcase(suite, tcase);
    return suite;
}
