#include "support.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>

#include "cli.h"
#include "cli_http.h"
#include "cli_print.h"

/* Guards against a patch that is sent without its base version, and against
 * options that silently contradict the file. */
START_TEST(patch_is_built_from_text_and_options)
{
    static const struct {
        const char *text;
        const char *base;
        const char *operator_name;
        const char *set;
        const char *path; /* path of the expected finding, or NULL if none */
    } cases[] = {
        {"", NULL, "ann", "pools/a/spare=1", "base"},
        {"", "7", NULL, "pools/a/spare=1", "operator"},
        {"", "7", "ann", NULL, ""},
        {"", "7", "ann", "pools/a/spare", "--set"},
        {"", "7", "ann", "=1", "--set"},
        {"", "7", "ann", "pools/a/spare=1", NULL},
        {"base: 6\nset:\n  a/b: 1\n", "7", "ann", NULL, "base"},
        {"base: 7\nset:\n  a/b: 1\n", "7", "ann", NULL, NULL},
        {"base: 7\noperator: ann\nset: {}", NULL, NULL, NULL, NULL},
        {"base: 7\nset:\n  a/b: 1\n", NULL, "ann", "c/d=2", "--set"},
        {"- 1\n", "7", "ann", NULL, ""},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CliOptions *options = calloc(1, sizeof(*options));
        Findings *findings = Findings_New("patch.yaml");
        Buf out = BUF_INIT;
        Status status;
        options->base = cases[i].base;
        options->operator_name = cases[i].operator_name;
        options->sets[0] = cases[i].set;
        options->set_count = cases[i].set != NULL;
        status = Cli_BuildPatch(options, cases[i].text, strlen(cases[i].text),
                                &out, findings);
        if (cases[i].path == NULL) {
            ck_assert_int_eq(status, ST_OK);
            ck_assert(strstr(Buf_Text(&out), "request_id: \"cli-") != NULL);
            ck_assert(strncmp(Buf_Text(&out), cases[i].text,
                              strlen(cases[i].text)) == 0);
        }
        else {
            ck_assert_int_eq(status, ST_INVALID);
            ck_assert_uint_eq(Findings_Count(findings), 1);
            ck_assert_str_eq(Findings_Get(findings, 0)->path, cases[i].path);
        }
        Buf_Free(&out);
        Findings_Free(findings);
        free(options);
    }
}
END_TEST

/* Guards against an option value that is parsed as YAML syntax and so adds or
 * changes keys of the patch. */
START_TEST(patch_values_are_quoted)
{
    CliOptions *options = calloc(1, sizeof(*options));
    Findings *findings = Findings_New("options");
    Buf out = BUF_INIT;

    options->base = "1";
    options->operator_name = "ann\"\nbase: 9";
    options->sets[0] = "a/b=1\ndelete: [x]";
    options->set_count = 1;
    ck_assert_int_eq(Cli_BuildPatch(options, "", 0, &out, findings), ST_OK);
    ck_assert(strstr(Buf_Text(&out), "\nbase: 9") == NULL);
    ck_assert(strstr(Buf_Text(&out), "\ndelete") == NULL);
    Buf_Free(&out);
    Findings_Free(findings);
    free(options);
}
END_TEST

/* Guards against an unknown result that is reported as a refusal. */
START_TEST(http_status_maps_to_exit_status)
{
    static const struct {
        long status;
        CliExitStatus exit;
    } cases[] = {{0, CLI_UNKNOWN},     {200, CLI_OK},      {202, CLI_OK},
                 {400, CLI_BAD_INPUT}, {404, CLI_REFUSED}, {409, CLI_REFUSED},
                 {422, CLI_BAD_INPUT}, {500, CLI_UNKNOWN}, {503, CLI_UNKNOWN},
                 {504, CLI_UNKNOWN}};
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        ck_assert_int_eq(Cli_GetExitStatus(cases[i].status), cases[i].exit);
    }
}
END_TEST

/* Guards against table rows that lose a field, and against names that send
 * control bytes to the terminal. */
START_TEST(json_is_printed_as_text)
{
    static const struct {
        const char *json;
        const char *text;
    } cases[] = {
        {"{\"version\": 4, \"leader\": \"a\"}", "version: 4\nleader: a\n"},
        {"{\"x\": {\"y\": true, \"z\": null}}", "x:\n  y: yes\n  z: -\n"},
        {"[{\"name\": \"vm-1\", \"pool\": \"p\"}, {\"name\": \"v\", "
         "\"rack\": 2}]",
         "name  pool  rack\nvm-1  p     -\nv     -     2\n"},
        {"{\"vms\": [{\"n\": 1}]}", "vms:\n  n\n  1\n"},
        {"{\"config\": \"a/b: 1\\nc/d: 2\\n\"}",
         "config:\n  a/b: 1\n  c/d: 2\n"},
        {"{\"a\": \"\\u001b[2J\"}", "a: ?[2J\n"},
        {"{\"list\": [1, \"b\"], \"none\": []}", "list: 1,b\nnone: \n"},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        json_t *json = json_loads(cases[i].json, 0, NULL);
        Buf out = BUF_INIT;
        Cli_AppendJson(&out, json, 0);
        ck_assert_str_eq(Buf_Text(&out), cases[i].text);
        Buf_Free(&out);
        json_decref(json);
    }
}
END_TEST

#define SERVER_ANSWERS 3

/* Answers each connection with the next text. An empty text closes the
 * connection without an answer. */
typedef struct Server {
    int socket;
    int port;
    const char *answers[SERVER_ANSWERS];
    char received[SERVER_ANSWERS][2048];
    int served;
    pthread_t thread;
} Server;

static void *
run_server(void *arg)
{
    Server *server = arg;

    while (server->served < SERVER_ANSWERS &&
           server->answers[server->served] != NULL) {
        int client = accept(server->socket, NULL, NULL);
        char *text = server->received[server->served];
        size_t len = 0;
        while (strstr(text, "request_id") == NULL) {
            ssize_t got = read(client, text + len, 2047 - len);
            if (got <= 0) {
                break;
            }
            len += (size_t)got;
            text[len] = '\0';
        }
        text = (char *)(uintptr_t)server->answers[server->served++];
        if (write(client, text, strlen(text)) < 0) {
            abort();
        }
        close(client);
    }
    return NULL;
}

static void
start_server(Server *server)
{
    struct sockaddr_in address;
    socklen_t len = sizeof(address);

    memset(&address, 0, sizeof(address));
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server->socket = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(
        bind(server->socket, (struct sockaddr *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(server->socket, 4), 0);
    getsockname(server->socket, (struct sockaddr *)&address, &len);
    server->port = ntohs(address.sin_port);
    pthread_create(&server->thread, NULL, run_server, server);
}

/* Guards against a patch that is lost, or resent under another request id, if
 * the connection closes before the answer or the result is unknown. */
START_TEST(unanswered_request_is_resent)
{
    static const char body[] = "base: 1\nrequest_id: r-1\n";
    Server server = {
        .answers = {"", "HTTP/1.1 504 x\r\nContent-Length: 2\r\n\r\n{}",
                    "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\n{}"}};
    SettingsAddress address = {.host = "127.0.0.1"};
    CliRequest request = {.method = "POST",
                          .path = "/v1/patch",
                          .content_type = "application/yaml",
                          .body = body,
                          .addresses = &address,
                          .address_count = 1,
                          .timeout_ms = 60000,
                          .resend = true};
    CliAnswer answer;
    int i;

    start_server(&server);
    address.port = server.port;
    Cli_SendRequest(&request, &answer);
    pthread_join(server.thread, NULL);
    ck_assert_int_eq(answer.status, 200);
    ck_assert_int_eq(answer.attempts, 3);
    for (i = 0; i < SERVER_ANSWERS; i++) {
        ck_assert(strstr(server.received[i], "request_id: r-1") != NULL);
    }
    Buf_Free(&answer.body);
    close(server.socket);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("cli");
    TCase *tcase = tcase_create("command line");

    tcase_add_test(tcase, patch_is_built_from_text_and_options);
    tcase_add_test(tcase, patch_values_are_quoted);
    tcase_add_test(tcase, http_status_maps_to_exit_status);
    tcase_add_test(tcase, json_is_printed_as_text);
    tcase_add_test(tcase, unanswered_request_is_resent);
    suite_add_tcase(suite, tcase);
    return suite;
}
