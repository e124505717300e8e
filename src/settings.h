/*
 * NAME
 *     settings - the YAML settings of a coltsfootd process
 *
 * DESCRIPTION
 *     A file is checked whole: every finding carries the line, the path and
 *     the reason, and all are reported together. Unknown keys are findings.
 *     The table of scalar settings carries unit, default and bounds; the
 *     reference page docs/settings.md is checked against it by a test.
 */
#ifndef COLTSFOOT_SETTINGS_H
#define COLTSFOOT_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>

#include "findings.h"
#include "status.h"

#define SETTINGS_NAME_BYTES 64
#define SETTINGS_HOST_BYTES 64
#define SETTINGS_FOLDER_BYTES 256
#define SETTINGS_MAX_PEERS 128

#define SETTINGS_MAX_SEEDS 16

typedef struct SettingsAddress {
    char host[SETTINGS_HOST_BYTES]; /* an IP number */
    int port;
} SettingsAddress;

typedef struct SettingsPeer {
    char name[SETTINGS_NAME_BYTES];
    char data_centre[SETTINGS_NAME_BYTES];
    SettingsAddress peer;    /* msgpack frames between coltsfootd processes */
    SettingsAddress traffic; /* HTTP, for forwarded requests */
} SettingsPeer;

/* What a process does. */
typedef enum SettingsRole {
    SETTINGS_ROLE_MEMBER, /* serves callers; a voter if it has a data folder */
    SETTINGS_ROLE_ENTRY,  /* of the job service: takes in callers' requests */
    SETTINGS_ROLE_CONTROL /* of the job service: keeps its log, schedules */
} SettingsRole;

typedef struct Settings {
    SettingsRole role;
    bool platform_wire; /* callers and targets speak the platform's messages */
    bool found;         /* the first of the seeds may found the cluster */
    SettingsAddress ready;                     /* HTTP, for readiness checks */
    SettingsAddress vm_service;                /* port 0: none */
    SettingsAddress advisor;                   /* port 0: none */
    SettingsAddress metrics;                   /* port 0: none */
    SettingsAddress seeds[SETTINGS_MAX_SEEDS]; /* control addresses */
    size_t seed_count;
    char name[SETTINGS_NAME_BYTES];
    char cluster[SETTINGS_NAME_BYTES];
    char data_centre[SETTINGS_NAME_BYTES];
    char region[SETTINGS_NAME_BYTES];
    char data_folder[SETTINGS_FOLDER_BYTES]; /* empty: not a voter */
    SettingsAddress peer;
    SettingsAddress control;
    SettingsAddress traffic;
    SettingsPeer peers[SETTINGS_MAX_PEERS]; /* all entry VMs but this one */
    size_t peer_count;
    long long traffic_threads;
    long long log_level;
    long long voters;
    long long election_ms;
    long long heartbeat_ms;
    long long snapshot_entries;
    long long target_heartbeat_ms;
    long long target_suspect_ms;
    long long queue_limit;
    long long max_body_bytes;
    long long default_deadline_ms;
    long long long_share_percent;
    long long retry_percent;
    long long unable_targets;
    long long token_ttl_s;
    long long target_connections;
    long long shutdown_grace_ms;
    long long buffer_weight;
    long long move_weight;
    long long wait_weight;
    long long run_lease_ms;
    long long run_stop_ms;
    long long announce_ms;
    long long job_status_s;
    long long job_early_ms;
    long long holder_lease_ms;
    long long disk_losses;
} Settings;

/* One scalar setting, for the reference page. */
typedef struct SettingsEntry {
    const char *path;
    const char *unit;
    long long fallback;
    long long min;
    long long max;
    const char *description;
    size_t offset;
} SettingsEntry;

/* Returns the table of whole-number settings and its length. */
const SettingsEntry *Settings_Entries(size_t *count);

/* Parses text into settings. Returns ST_OK, or ST_INVALID with findings. */
Status Settings_Parse(const char *text, size_t len, Settings *settings,
                      Findings *findings);

/* Reads a file and parses it. ST_IO when it cannot be read. */
Status Settings_Load(const char *file, Settings *settings, Findings *findings);

/* Parses "IP:PORT". */
bool Settings_ParseAddress(const char *text, SettingsAddress *address);

#endif
