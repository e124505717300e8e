#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "common_load.h"
#include "rng.h"

static Load load;

static int
int_or(const struct arg_int *arg, int fallback)
{
    return arg->count > 0 ? arg->ival[0] : fallback;
}

static bool
read_addresses(const struct arg_str *arg, SettingsAddress *addresses,
               int *count)
{
    int i;

    for (i = 0; i < arg->count; i++) {
        if (!Settings_ParseAddress(arg->sval[i], &addresses[i])) {
            fprintf(stderr, "standin-caller: bad address %s\n", arg->sval[i]);
            return false;
        }
    }
    *count = arg->count;
    return true;
}

int
main(int argc, char **argv)
{
    struct arg_str *to = arg_strn(NULL, "to", "IP:PORT", 1, LOAD_MAX_ADDRESSES,
                                  "traffic port of an entry VM; repeatable");
    struct arg_str *service =
        arg_strn(NULL, "service", "NAME", 1, LOAD_MAX_SERVICES, "repeatable");
    struct arg_dbl *rate =
        arg_dbl0(NULL, "rate", "N", "requests a second (100)");
    struct arg_dbl *seconds = arg_dbl0(NULL, "seconds", "S", "(5)");
    struct arg_int *requests =
        arg_int0(NULL, "requests", "N", "in place of --seconds");
    struct arg_int *body = arg_int0(NULL, "body-bytes", "N", "(200)");
    struct arg_int *run_us =
        arg_int0(NULL, "run-us", "US", "start bodies with \"run_us=NNN;\"");
    struct arg_int *deadline = arg_int0(NULL, "deadline-ms", "MS", "(10000)");
    struct arg_str *class =
        arg_str0(NULL, "class", "NAME", "urgent, short or long");
    struct arg_int *unrepeatable =
        arg_int0(NULL, "unrepeatable-percent", "P",
                 "requests that may run once at most (0)");
    struct arg_int *twice =
        arg_int0(NULL, "twice-percent", "P",
                 "unrepeatable requests sent to two addresses at once (0)");
    struct arg_int *cancel = arg_int0(NULL, "cancel-percent", "P", "(0)");
    struct arg_str *team = arg_str0(NULL, "team", "NAME", NULL);
    struct arg_str *caller = arg_str0(NULL, "caller", "NAME", "(standin)");
    struct arg_int *resend = arg_int0(
        NULL, "resend", "N", "resends of a request after a lost connection");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "0: random (0)");
    struct arg_str *verify =
        arg_strn(NULL, "verify", "IP:PORT", 0, LOAD_MAX_ADDRESSES,
                 "stand-in target whose counts are checked; repeatable");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this text");
    struct arg_end *end = arg_end(20);
    void *table[] = {to,    service, rate,     seconds, requests,
                     body,  run_us,  deadline, class,   unrepeatable,
                     twice, cancel,  team,     caller,  resend,
                     seed,  verify,  help,     end};
    LoadOptions *options = &load.options;
    int errors = arg_parse(argc, argv, table);
    int i;

    if (help->count > 0) {
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
        return EXIT_SUCCESS;
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, "standin-caller");
        return 2;
    }
    if (!read_addresses(to, options->to, &options->to_count) ||
        !read_addresses(verify, options->verify, &options->verify_count)) {
        return 2;
    }
    for (i = 0; i < service->count; i++) {
        options->services[i] = service->sval[i];
    }
    options->service_count = service->count;
    options->rate = rate->count > 0 ? rate->dval[0] : 100.0;
    options->seconds = seconds->count > 0 ? seconds->dval[0] : 5.0;
    options->requests = int_or(requests, 0);
    options->body_bytes = int_or(body, 200);
    options->run_us = int_or(run_us, -1);
    options->deadline_ms = int_or(deadline, 10000);
    options->class = class->count > 0 ? class->sval[0] : NULL;
    options->team = team->count > 0 ? team->sval[0] : NULL;
    options->caller = caller->count > 0 ? caller->sval[0] : "standin";
    options->unrepeatable_percent = int_or(unrepeatable, 0);
    options->twice_percent = int_or(twice, 0);
    options->cancel_percent = int_or(cancel, 0);
    options->resend = int_or(resend, 0);
    options->seed = (uint64_t)int_or(seed, 0);
    if (options->rate <= 0.0) {
        fprintf(stderr, "standin-caller: --rate must be above 0\n");
        return 2;
    }
    curl_global_init(CURL_GLOBAL_ALL);
    Load_Run(&load);
    Load_Verify(&load);
    Load_Print(&load, stdout);
    return load.counts.wrong == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
