#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <apr_time.h>
#include <argtable2.h>
#include <curl/curl.h>

#include "control.h"
#include "diag.h"
#include "findings.h"
#include "jobctl.h"
#include "jobentry.h"
#include "loop.h"
#include "platform_wire.h"
#include "settings.h"
#include "signals.h"
#include "slog.h"

#define EXIT_FINDINGS 2

static int
run_member(const Settings *settings)
{
    ErrCtx err = {0};
    Control *control;
    Status status;

    if (Control_New(settings, &control, &err) != ST_OK) {
        Diag_Log(DIAG_ERROR, "main", "Cannot start: %s.", err.message);
        return EXIT_FAILURE;
    }
    status = Control_Run(control);
    Control_Free(control);
    return status == ST_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Runs a node of the job service. */
static int
run_job_node(const Settings *settings, const char *file)
{
    const JobWire *wire = PlatformWire_Get();
    SlogOptions log = SLOG_OPTIONS_DEFAULT;
    ErrCtx err = {ST_OK, ""};
    JobControl *control = NULL;
    JobEntry *entry = NULL;
    Status status;

    log.node = settings->name;
    Slog_Open(&log);
    Slog_SetTime(apr_time_as_msec(apr_time_now()), Loop_NowMs());
    Slog_Begin(SLOG_CHANGE, "started");
    Slog_AddText("role",
                 settings->role == SETTINGS_ROLE_ENTRY ? "entry" : "control");
    Slog_AddText("version", COLTSFOOT_VERSION);
    Slog_End();
    if (settings->role == SETTINGS_ROLE_ENTRY) {
        status = JobEntry_New(settings, file, wire, &entry, &err);
    }
    else {
        status = JobControl_New(settings, file, wire, &control, &err);
    }
    if (status != ST_OK) {
        Diag_Log(DIAG_ERROR, "main", "Cannot start: %s.", err.message);
        return EXIT_FAILURE;
    }
    if (entry != NULL) {
        JobEntry_Run(entry);
        JobEntry_Free(entry);
    }
    else {
        status = JobControl_Run(control);
        JobControl_Free(control);
    }
    Slog_Begin(SLOG_CHANGE, "stopped");
    Slog_End();
    Slog_Close();
    return status == ST_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
init_data_folder(const Settings *settings)
{
    ErrCtx err = {0};

    if (Control_InitFolder(settings, &err) != ST_OK) {
        Diag_Log(DIAG_ERROR, "main", "Cannot initialise the data folder: %s.",
                 err.message);
        return EXIT_FAILURE;
    }
    Diag_Log(DIAG_NOTICE, "main", "Initialised data folder %s.",
             settings->data_folder);
    return EXIT_SUCCESS;
}

static int
load_settings(const char *file, Settings *settings)
{
    Findings *findings = Findings_New(file);
    Status status = Settings_Load(file, settings, findings);

    Findings_Print(findings, stderr);
    Findings_Free(findings);
    return status == ST_OK ? EXIT_SUCCESS : EXIT_FINDINGS;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this help");
    struct arg_lit *version = arg_lit0(NULL, "version", "print the version");
    struct arg_file *file =
        arg_file0("s", "settings", "FILE", "run with these settings");
    struct arg_file *check =
        arg_file0(NULL, "check", "FILE", "only check settings");
    struct arg_lit *init =
        arg_lit0(NULL, "init", "create the data folder of a new cluster");
    struct arg_end *end = arg_end(8);
    void *table[] = {help, version, file, check, init, end};
    static Settings settings;
    int errors;
    int status;

    Signals_HoldReload();
    errors = arg_parse(argc, argv, table);
    apr_initialize();
    curl_global_init(CURL_GLOBAL_ALL);
    if (help->count > 0) {
        printf("Usage: coltsfootd");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-22s %s\n");
        status = EXIT_SUCCESS;
    }
    else if (version->count > 0) {
        printf("coltsfootd %s\n", COLTSFOOT_VERSION);
        status = EXIT_SUCCESS;
    }
    else if (errors > 0 || file->count + check->count != 1) {
        arg_print_errors(stderr, end, "coltsfootd");
        fprintf(stderr, "coltsfootd: one of --settings and --check is "
                        "needed; see --help\n");
        status = EXIT_FINDINGS;
    }
    else if (check->count > 0) {
        status = load_settings(check->filename[0], &settings);
    }
    else {
        status = load_settings(file->filename[0], &settings);
        if (status == EXIT_SUCCESS) {
            Diag_Init("coltsfootd", (DiagLevel)settings.log_level);
            if (settings.role != SETTINGS_ROLE_MEMBER) {
                status = run_job_node(&settings, file->filename[0]);
            }
            else {
                status = init->count > 0 ? init_data_folder(&settings)
                                         : run_member(&settings);
            }
        }
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    curl_global_cleanup();
    apr_terminate();
    return status;
}
