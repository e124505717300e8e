/*
 * NAME
 *     settings - the YAML settings of a coltsfootd process
 *
 * DESCRIPTION
 *     The whole file is checked and all findings are reported together, each
 *     with its line, path and reason. Unknown keys are findings. The table of
 *     numeric settings gives unit, default and bounds; a test compares it with
 *     the reference page docs/settings.md.
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
    char host[SETTINGS_HOST_BYTES]; /* numeric IPv4 address */
    int port;
} SettingsAddress;

typedef struct SettingsPeer {
    char name[SETTINGS_NAME_BYTES];
    char data_centre[SETTINGS_NAME_BYTES];
    SettingsAddress peer;    /* for msgpack frames between processes */
    SettingsAddress traffic; /* for forwarded HTTP requests */
} SettingsPeer;

typedef enum SettingsRole {
    SETTINGS_ROLE_MEMBER, /* serves callers; voter if it has a data folder */
    SETTINGS_ROLE_ENTRY,  /* job service: accepts requests for the leader */
    SETTINGS_ROLE_CONTROL /* job service: stores the log and schedules */
} SettingsRole;

typedef struct Settings {
    SettingsRole role;
    /* True if callers and targets use the platform's messages. */
    bool platform_wire;
    /* True if the node may create the cluster; only the first seed does so. */
    bool may_bootstrap;
    /* True if jobs that cannot be done in time are refused. */
    bool overload_control;
    SettingsAddress ready;                     /* for HTTP readiness checks */
    SettingsAddress vm_service;                /* port 0 if not set */
    SettingsAddress advisor;                   /* port 0 if not set */
    SettingsAddress metrics;                   /* port 0 if not set */
    SettingsAddress seeds[SETTINGS_MAX_SEEDS]; /* control addresses of nodes */
    size_t seed_count;
    char name[SETTINGS_NAME_BYTES];
    char cluster[SETTINGS_NAME_BYTES];
    char data_centre[SETTINGS_NAME_BYTES];
    char region[SETTINGS_NAME_BYTES];
    char data_folder[SETTINGS_FOLDER_BYTES]; /* empty if not a voter */
    SettingsAddress peer;
    SettingsAddress control;
    SettingsAddress traffic;
    SettingsPeer peers[SETTINGS_MAX_PEERS]; /* all other entry VMs */
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
    long long max_connections;
    long long max_open_bytes;
    long long max_job_bytes;
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
    long long seed_peer_port; /* 0: the port of peer */
    long long holder_lease_ms;
    long long disk_losses;
} Settings;

/* One numeric setting and its documentation. */
typedef struct SettingsEntry {
    const char *path;
    const char *unit;
    long long default_value;
    long long min;
    long long max;
    const char *description;
    size_t offset;
} SettingsEntry;

/* Returns the table of numeric settings and writes its length to count. */
const SettingsEntry *Settings_GetEntries(size_t *count);

/* Parses the YAML text. Returns ST_OK, or ST_INVALID with findings. */
Status Settings_Parse(const char *text, size_t len, Settings *settings,
                      Findings *findings);

/* Reads and parses a file. Returns ST_OK, ST_INVALID or ST_IO with findings,
 * or ST_NO_MEMORY. */
Status Settings_Load(const char *file, Settings *settings, Findings *findings);

/* Parses "IP:PORT" with a numeric IPv4 address. Returns false if invalid. */
bool Settings_ParseAddress(const char *text, SettingsAddress *address);

#endif
