#include "cli.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli_http.h"

#define TIMEOUT_DEFAULT_MS 10000

typedef struct CliArgs {
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_lit *json;
    struct arg_str *to;
    struct arg_int *timeout;
    struct arg_str *base;
    struct arg_str *operator_name;
    struct arg_str *request_id;
    struct arg_str *set;
    struct arg_str *delete;
    struct arg_str *vm;
    struct arg_int *deadline;
    struct arg_str *reason;
    struct arg_str *format;
    struct arg_str *arguments;
    struct arg_end *end;
} CliArgs;

static const char usage[] =
    "Usage: coltsfoot COMMAND [ARGUMENTS] [OPTIONS]\n"
    "\n"
    "  check FILE                  validate a settings file\n"
    "  patch [FILE | -]            submit a configuration patch\n"
    "  show [PATH]                 configuration and its version\n"
    "  status                      members, leader and applied versions\n"
    "  vms [remove NAME]           VMs with pool, epoch and state\n"
    "  pools                       pools with budgets and shares\n"
    "  members destroyed NAME      declare that an entry VM runs no more\n"
    "  wave start NAME --vm VM...  start a maintenance wave\n"
    "  wave show|pause|resume|cancel NAME\n"
    "  report                      service-level burn report\n"
    "  explain SUBJECT             recorded decisions about a subject\n"
    "\n"
    "Exit status: 0 ok, 1 refused, 2 bad input, 3 unreachable or unknown.\n"
    "\n";

static const char *
get_string(const struct arg_str *arg)
{
    return arg->count > 0 ? arg->sval[0] : NULL;
}

static int
copy_strings(const struct arg_str *arg, const char **out)
{
    int i;

    for (i = 0; i < arg->count; i++) {
        out[i] = arg->sval[i];
    }
    return arg->count;
}

/* Reads the addresses given with --to, or else the comma-separated list in
 * COLTSFOOT_CONTROL. */
static bool
read_addresses(const struct arg_str *arg, CliOptions *options)
{
    const char *text = getenv("COLTSFOOT_CONTROL");
    char list[CLI_MAX_ADDRESSES * SETTINGS_HOST_BYTES];
    char *state = NULL;
    char *item;
    int i;

    for (i = 0; i < arg->count; i++) {
        if (!Settings_ParseAddress(
                arg->sval[i], &options->addresses[options->address_count++])) {
            fprintf(stderr, "coltsfoot: --to must be IP:PORT, not %s\n",
                    arg->sval[i]);
            return false;
        }
    }
    if (arg->count > 0 || text == NULL) {
        return true;
    }
    snprintf(list, sizeof(list), "%s", text);
    for (item = strtok_r(list, ",", &state);
         item != NULL && options->address_count < CLI_MAX_ADDRESSES;
         item = strtok_r(NULL, ",", &state)) {
        if (!Settings_ParseAddress(
                item, &options->addresses[options->address_count++])) {
            fprintf(stderr,
                    "coltsfoot: COLTSFOOT_CONTROL must be a list of IP:PORT, "
                    "not %s\n",
                    item);
            return false;
        }
    }
    return true;
}

static bool
read_options(const CliArgs *args, CliOptions *options)
{
    memset(options, 0, sizeof(*options));
    options->argument_count =
        copy_strings(args->arguments, options->arguments);
    options->json = args->json->count > 0;
    options->timeout_ms =
        args->timeout->count > 0 ? args->timeout->ival[0] : TIMEOUT_DEFAULT_MS;
    options->base = get_string(args->base);
    options->operator_name = get_string(args->operator_name);
    if (options->operator_name == NULL) {
        options->operator_name = getenv("COLTSFOOT_OPERATOR");
    }
    options->request_id = get_string(args->request_id);
    options->reason = get_string(args->reason);
    options->format = get_string(args->format);
    options->deadline_s =
        args->deadline->count > 0 ? args->deadline->ival[0] : 0;
    options->set_count = copy_strings(args->set, options->sets);
    options->delete_count = copy_strings(args->delete, options->deletes);
    options->vm_count = copy_strings(args->vm, options->vms);
    if (options->timeout_ms <= 0 || options->deadline_s < 0) {
        fprintf(stderr, "coltsfoot: --timeout-ms must be above 0 and "
                        "--deadline-s must not be negative\n");
        return false;
    }
    return read_addresses(args->to, options);
}

static void
create_args(CliArgs *args)
{
    args->help = arg_lit0("h", "help", "print this text");
    args->version = arg_lit0("V", "version", "print the version");
    args->json = arg_lit0(NULL, "json", "print answers as JSON");
    args->to = arg_strn(NULL, "to", "IP:PORT", 0, CLI_MAX_ADDRESSES,
                        "control port; tried in turn; COLTSFOOT_CONTROL");
    args->timeout = arg_int0(NULL, "timeout-ms", "MS",
                             "time for all attempts together (10000)");
    args->base =
        arg_str0(NULL, "base", "VERSION", "version a patch was written for");
    args->operator_name =
        arg_str0(NULL, "operator", "NAME", "COLTSFOOT_OPERATOR");
    args->request_id = arg_str0(NULL, "request-id", "ID",
                                "names a change; repeat it to resend");
    args->set = arg_strn(NULL, "set", "PATH=VALUE", 0, CLI_MAX_ITEMS,
                         "edit of a patch; repeatable");
    args->delete = arg_strn(NULL, "delete", "PATH", 0, CLI_MAX_ITEMS,
                            "edit of a patch; repeatable");
    args->vm = arg_strn(NULL, "vm", "NAME", 0, CLI_MAX_ITEMS,
                        "VM of a wave; repeatable");
    args->deadline =
        arg_int0(NULL, "deadline-s", "S", "time that a wave may take");
    args->reason = arg_str0(NULL, "reason", "TEXT", "for pause and cancel");
    args->format = arg_str0(NULL, "format", "text|json|html", "of a report");
    args->arguments = arg_strn(NULL, NULL, "COMMAND", 0, 4, NULL);
    args->end = arg_end(20);
}

static int
run_with_args(const CliArgs *args)
{
    CliOptions *options = malloc(sizeof(*options));
    int status = CLI_BAD_INPUT;

    if (options == NULL) {
        return CLI_UNKNOWN;
    }
    if (read_options(args, options)) {
        curl_global_init(CURL_GLOBAL_ALL);
        status = (int)Cli_RunCommand(options);
        curl_global_cleanup();
    }
    free(options);
    return status;
}

int
Cli_Main(int argc, char **argv)
{
    CliArgs args;
    void *table[sizeof(CliArgs) / sizeof(void *)];
    int status;

    create_args(&args);
    memcpy(table, &args, sizeof(table));
    if (arg_parse(argc, argv, table) > 0 && args.help->count == 0 &&
        args.version->count == 0) {
        arg_print_errors(stderr, args.end, "coltsfoot");
        status = CLI_BAD_INPUT;
    }
    else if (args.help->count > 0) {
        fputs(usage, stdout);
        arg_print_glossary(stdout, table, "  %-26s %s\n");
        status = CLI_OK;
    }
    else if (args.version->count > 0) {
        printf("coltsfoot %s\n", COLTSFOOT_VERSION);
        status = CLI_OK;
    }
    else if (args.arguments->count == 0) {
        fputs(usage, stderr);
        status = CLI_BAD_INPUT;
    }
    else {
        status = run_with_args(&args);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
