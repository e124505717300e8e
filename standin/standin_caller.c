#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "common_load.h"
#include "rng.h"

typedef struct CallerArgs {
    struct arg_str *addresses;
    struct arg_str *service;
    struct arg_dbl *rate;
    struct arg_dbl *seconds;
    struct arg_int *requests;
    struct arg_int *body;
    struct arg_int *run_us;
    struct arg_int *deadline;
    struct arg_str *class;
    struct arg_int *unrepeatable;
    struct arg_int *twice;
    struct arg_int *cancel;
    struct arg_str *team;
    struct arg_str *caller;
    struct arg_int *max_resends;
    struct arg_int *seed;
    struct arg_str *verify_addresses;
    struct arg_lit *direct;
    struct arg_lit *help;
    struct arg_end *end;
} CallerArgs;

/* Creates the argument table with the default values. */
static void
create_args(CallerArgs *a)
{
    a->addresses = arg_strn(NULL, "to", "IP:PORT", 1, LOAD_MAX_ADDRESSES,
                            "traffic port of an entry VM; repeatable");
    a->service =
        arg_strn(NULL, "service", "NAME", 1, LOAD_MAX_SERVICES, "repeatable");
    a->rate = arg_dbl0(NULL, "rate", "N", "requests a second (100)");
    a->seconds = arg_dbl0(NULL, "seconds", "S", "(5)");
    a->requests = arg_int0(NULL, "requests", "N", "in place of --seconds");
    a->body = arg_int0(NULL, "body-bytes", "N", "(200)");
    a->run_us = arg_int0(NULL, "run-us", "US", "bodies with \"run_us=NNN;\"");
    a->deadline = arg_int0(NULL, "deadline-ms", "MS", "(10000)");
    a->class = arg_str0(NULL, "class", "NAME", "urgent, short or long");
    a->unrepeatable = arg_int0(NULL, "unrepeatable-percent", "P",
                               "requests that may run once at most (0)");
    a->twice = arg_int0(NULL, "twice-percent", "P",
                        "unrepeatable requests sent to two at once (0)");
    a->cancel = arg_int0(NULL, "cancel-percent", "P", "(0)");
    a->team = arg_str0(NULL, "team", "NAME", NULL);
    a->caller = arg_str0(NULL, "caller", "NAME", "(standin)");
    a->max_resends =
        arg_int0(NULL, "resend", "N",
                 "resends of a request after a lost connection (0)");
    a->seed = arg_int0(NULL, "seed", "N", "0: random (0)");
    a->verify_addresses =
        arg_strn(NULL, "verify", "IP:PORT", 0, LOAD_MAX_ADDRESSES,
                 "target whose counts are checked; repeatable");
    a->direct = arg_lit0(NULL, "direct", "the addresses are those of targets");
    a->help = arg_lit0(NULL, "help", "print this text");
    a->end = arg_end(20);
    a->rate->dval[0] = 100.0;
    a->seconds->dval[0] = 5.0;
    a->requests->ival[0] = 0;
    a->body->ival[0] = 200;
    a->run_us->ival[0] = -1;
    a->deadline->ival[0] = 10000;
    a->class->sval[0] = NULL;
    a->unrepeatable->ival[0] = 0;
    a->twice->ival[0] = 0;
    a->cancel->ival[0] = 0;
    a->team->sval[0] = NULL;
    a->caller->sval[0] = "standin";
    a->max_resends->ival[0] = 0;
    a->seed->ival[0] = 0;
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

static bool
read_options(const CallerArgs *a, LoadOptions *options)
{
    int i;

    for (i = 0; i < a->service->count; i++) {
        options->services[i] = a->service->sval[i];
    }
    options->service_count = a->service->count;
    options->rate = a->rate->dval[0];
    options->seconds = a->seconds->dval[0];
    options->requests = a->requests->ival[0];
    options->body_bytes = a->body->ival[0];
    options->run_us = a->run_us->ival[0];
    options->deadline_ms = a->deadline->ival[0];
    options->class = a->class->sval[0];
    options->team = a->team->sval[0];
    options->caller = a->caller->sval[0];
    options->unrepeatable_percent = a->unrepeatable->ival[0];
    options->twice_percent = a->twice->ival[0];
    options->cancel_percent = a->cancel->ival[0];
    options->max_resends = a->max_resends->ival[0];
    options->direct = a->direct->count > 0;
    options->seed = (uint64_t)a->seed->ival[0];
    if (options->rate <= 0.0) {
        fprintf(stderr, "standin-caller: --rate must be above 0\n");
        return false;
    }
    return read_addresses(a->addresses, options->addresses,
                          &options->address_count) &&
           read_addresses(a->verify_addresses, options->verify_addresses,
                          &options->verify_count);
}

int
main(int argc, char **argv)
{
    static Load load;
    CallerArgs args;
    void *table[sizeof(CallerArgs) / sizeof(void *)];
    int errors;

    create_args(&args);
    memcpy(table, &args, sizeof(table));
    errors = arg_parse(argc, argv, table);
    if (args.help->count > 0) {
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
        return EXIT_SUCCESS;
    }
    if (errors > 0) {
        arg_print_errors(stderr, args.end, "standin-caller");
        return 2;
    }
    if (!read_options(&args, &load.options)) {
        return 2;
    }
    curl_global_init(CURL_GLOBAL_ALL);
    Load_Run(&load);
    Load_Verify(&load);
    Load_PrintCounts(&load, stdout);
    Load_Free(&load);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    curl_global_cleanup();
    return load.counts.wrong == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
