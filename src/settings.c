#include "settings.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "yaml_tree.h"

#define ENTRY(field, unit, initial, min, max, text)                           \
    {                                                                         \
#field, unit, initial, min, max, text, offsetof(Settings, field)      \
    }

static const SettingsEntry settings_entries[] = {
    ENTRY(traffic_threads, "threads", 2, 1, 64,
          "threads that serve callers and call targets"),
    ENTRY(log_level, "syslog priority", 6, 3, 7,
          "lowest priority that is logged; 3 error to 7 debug"),
    ENTRY(voters, "nodes", 3, 1, 5,
          "nodes with a disk that are promoted to voters"),
    ENTRY(election_ms, "ms", 1000, 50, 60000,
          "shortest silence of the leader before an election"),
    ENTRY(heartbeat_ms, "ms", 250, 10, 10000,
          "interval of the leader's heartbeats"),
    ENTRY(snapshot_entries, "entries", 4096, 16, 1000000,
          "log entries between two snapshots"),
    ENTRY(target_heartbeat_ms, "ms", 500, 100, 600000,
          "interval of announcements that targets are asked for"),
    ENTRY(target_suspect_ms, "ms", 1800, 200, 1800000,
          "silence after which a target is suspected"),
    ENTRY(queue_limit, "requests", 4096, 1, 1000000,
          "requests waiting in one queue of a service and class"),
    ENTRY(max_body_bytes, "bytes", 1048576, 1024, 67108864,
          "largest body of a request or an answer"),
    ENTRY(max_connections, "connections", 2048, 16, 1000000,
          "connections of clients at one address"),
    ENTRY(max_open_bytes, "bytes", 16777216, 65536, 1073741824,
          "bytes of open bodies and unread answers at one address"),
    ENTRY(max_job_bytes, "bytes", 41943040, 1048576, 1073741824,
          "bytes of the jobs that control VMs keep"),
    ENTRY(default_deadline_ms, "ms", 30000, 1, 86400000,
          "deadline of a request that names none"),
    ENTRY(long_share_percent, "%", 50, 0, 100,
          "share of a target's slots that long work may take"),
    ENTRY(retry_percent, "%", 10, 0, 100,
          "retries as a share of fresh requests"),
    ENTRY(unable_targets, "targets", 3, 1, 10,
          "targets on which work fails before it is declared unable to run"),
    ENTRY(token_ttl_s, "s", 600, 1, 86400,
          "life time of a token of an unrepeatable request"),
    ENTRY(target_connections, "connections", 16, 1, 1024,
          "connections of one traffic thread to one target"),
    ENTRY(shutdown_grace_ms, "ms", 60000, 0, 86400000,
          "longest wait for requests in flight at a planned stop"),
    ENTRY(buffer_weight, "points", 1, 0, 1000,
          "weight of one idle spare VM second in the planner of moves"),
    ENTRY(move_weight, "points", 20, 0, 1000,
          "weight of one VM move in the planner of moves"),
    ENTRY(wait_weight, "points", 1, 0, 1000,
          "weight of one second of waiting short work"),
    ENTRY(run_lease_ms, "ms", 6000, 500, 600000,
          "longest lease that targets grant to runs of tasks"),
    ENTRY(run_stop_ms, "ms", 500, 1, 60000,
          "longest time in which a target stops a run"),
    ENTRY(announce_ms, "ms", 1500, 100, 600000,
          "interval at which targets of the job service announce themselves"),
    ENTRY(job_status_s, "s", 180, 1, 86400,
          "time for which the state of an ended job is kept"),
    ENTRY(job_early_ms, "ms", 0, 0, 60000,
          "time by which an occurrence of a job may start early"),
    ENTRY(holder_lease_ms, "ms", 3000, 1, 600000,
          "one node alone orders moves of VMs for so long"),
    ENTRY(disk_losses, "disks", 1, 0, 2,
          "disks that may be lost at once without losing what was accepted"),
    ENTRY(seed_peer_port, "port", 0, 0, 65535,
          "port for peers of the seeds; 0 is that of this node"),
};

#define SETTINGS_ENTRY_COUNT                                                  \
    (sizeof(settings_entries) / sizeof(settings_entries[0]))

const SettingsEntry *
Settings_GetEntries(size_t *count)
{
    *count = SETTINGS_ENTRY_COUNT;
    return settings_entries;
}

static long long *
get_entry_value(Settings *settings, const SettingsEntry *entry)
{
    return (long long *)((char *)settings + entry->offset);
}

static const SettingsEntry *
find_entry(const char *path)
{
    size_t i;

    for (i = 0; i < SETTINGS_ENTRY_COUNT; i++) {
        if (strcmp(settings_entries[i].path, path) == 0) {
            return &settings_entries[i];
        }
    }
    return NULL;
}

static void
read_entry(Settings *settings, const SettingsEntry *entry,
           const YamlNode *node, Findings *findings)
{
    long long value;

    if (!YamlNode_ParseInteger(node, &value)) {
        Findings_Add(findings, YamlNode_GetLine(node), entry->path,
                     "must be a whole number of %s", entry->unit);
        return;
    }
    if (value < entry->min || value > entry->max) {
        Findings_Add(findings, YamlNode_GetLine(node), entry->path,
                     "%lld is outside %lld to %lld %s", value, entry->min,
                     entry->max, entry->unit);
        return;
    }
    *get_entry_value(settings, entry) = value;
}

bool
Settings_ParseAddress(const char *text, SettingsAddress *address)
{
    const char *colon = strrchr(text, ':');
    char host[SETTINGS_HOST_BYTES];
    unsigned char binary[sizeof(struct in6_addr)];
    size_t len;
    char *end;
    long port;

    if (colon == NULL || colon == text) {
        return false;
    }
    len = (size_t)(colon - text);
    if (len >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, len);
    host[len] = '\0';
    if (inet_pton(AF_INET, host, binary) != 1) {
        return false;
    }
    port = strtol(colon + 1, &end, 10);
    if (*end != '\0' || end == colon + 1 || port < 1 || port > 65535) {
        return false;
    }
    memcpy(address->host, host, len + 1);
    address->port = (int)port;
    return true;
}

static void
read_address(const YamlNode *node, const char *path, SettingsAddress *address,
             Findings *findings)
{
    if (YamlNode_GetKind(node) != YAML_SCALAR ||
        !Settings_ParseAddress(YamlNode_GetText(node), address)) {
        Findings_Add(
            findings, YamlNode_GetLine(node), path,
            "must be an IPv4 address and port number, as in 10.0.0.1:7000");
    }
}

static bool
is_name(const char *text)
{
    const char *at;

    for (at = text; *at != '\0'; at++) {
        if (!isalnum((unsigned char)*at) && strchr("-_.", *at) == NULL) {
            return false;
        }
    }
    return at != text && (size_t)(at - text) < SETTINGS_NAME_BYTES;
}

static void
read_name(const YamlNode *node, const char *path, char *name,
          Findings *findings)
{
    if (YamlNode_GetKind(node) != YAML_SCALAR ||
        !is_name(YamlNode_GetText(node))) {
        Findings_Add(findings, YamlNode_GetLine(node), path,
                     "must be 1 to %d letters, digits, '-', '_' or '.'",
                     SETTINGS_NAME_BYTES - 1);
        return;
    }
    snprintf(name, SETTINGS_NAME_BYTES, "%s", YamlNode_GetText(node));
}

static void
read_peer(const YamlNode *node, size_t index, SettingsPeer *peer,
          Findings *findings)
{
    char path[FINDINGS_PATH_BYTES];
    size_t i;

    snprintf(path, sizeof(path), "peers[%zu]", index);
    if (YamlNode_GetKind(node) != YAML_MAP) {
        Findings_Add(findings, YamlNode_GetLine(node), path, "must be a map");
        return;
    }
    for (i = 0; i < YamlNode_CountItems(node); i++) {
        const char *key = YamlNode_GetKey(node, i);
        const YamlNode *value = YamlNode_GetItem(node, i);
        snprintf(path, sizeof(path), "peers[%zu].%.60s", index, key);
        if (strcmp(key, "name") == 0) {
            read_name(value, path, peer->name, findings);
        }
        else if (strcmp(key, "data_centre") == 0) {
            read_name(value, path, peer->data_centre, findings);
        }
        else if (strcmp(key, "peer") == 0) {
            read_address(value, path, &peer->peer, findings);
        }
        else if (strcmp(key, "traffic") == 0) {
            read_address(value, path, &peer->traffic, findings);
        }
        else {
            Findings_Add(findings, YamlNode_GetKeyLine(node, i), path,
                         "unknown key");
        }
    }
    if (YamlNode_CountItems(node) != 4) {
        snprintf(path, sizeof(path), "peers[%zu]", index);
        Findings_Add(findings, YamlNode_GetLine(node), path,
                     "needs name, data_centre, peer and traffic");
    }
}

static void
read_peers(const YamlNode *node, Settings *settings, Findings *findings)
{
    size_t i;

    if (YamlNode_GetKind(node) != YAML_LIST) {
        Findings_Add(findings, YamlNode_GetLine(node), "peers",
                     "must be a list");
        return;
    }
    if (YamlNode_CountItems(node) > SETTINGS_MAX_PEERS) {
        Findings_Add(findings, YamlNode_GetLine(node), "peers",
                     "at most %d peers are accepted", SETTINGS_MAX_PEERS);
        return;
    }
    for (i = 0; i < YamlNode_CountItems(node); i++) {
        read_peer(YamlNode_GetItem(node, i), i, &settings->peers[i], findings);
    }
    settings->peer_count = YamlNode_CountItems(node);
}

static void
read_folder(const YamlNode *node, Settings *settings, Findings *findings)
{
    const char *text = YamlNode_GetText(node);

    if (text[0] == '\0' || strlen(text) >= SETTINGS_FOLDER_BYTES) {
        Findings_Add(findings, YamlNode_GetLine(node), "data_folder",
                     "must be a path of 1 to %d bytes",
                     SETTINGS_FOLDER_BYTES - 1);
        return;
    }
    snprintf(settings->data_folder, sizeof(settings->data_folder), "%s", text);
}

static void
read_choice(const YamlNode *node, const char *path,
            const char *const choices[], size_t count, size_t *chosen,
            Findings *findings)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (strcmp(YamlNode_GetText(node), choices[i]) == 0) {
            *chosen = i;
            return;
        }
    }
    Findings_Add(findings, YamlNode_GetLine(node), path, "must be %s or %s",
                 choices[0], choices[count - 1]);
}

static void
read_seeds(const YamlNode *node, Settings *settings, Findings *findings)
{
    size_t i;

    if (YamlNode_GetKind(node) != YAML_LIST ||
        YamlNode_CountItems(node) > SETTINGS_MAX_SEEDS) {
        Findings_Add(findings, YamlNode_GetLine(node), "seeds",
                     "must be a list of at most %d addresses",
                     SETTINGS_MAX_SEEDS);
        return;
    }
    for (i = 0; i < YamlNode_CountItems(node); i++) {
        read_address(YamlNode_GetItem(node, i), "seeds", &settings->seeds[i],
                     findings);
    }
    settings->seed_count = YamlNode_CountItems(node);
}

/* Reads a setting of the job service. Returns false if key is not one. */
static bool
read_job_key(Settings *settings, const char *key, const YamlNode *node,
             Findings *findings)
{
    static const char *const roles[] = {"member", "entry", "control"};
    static const char *const wires[] = {"native", "platform"};
    static const char *const flags[] = {"false", "true"};
    size_t chosen = 0;

    if (strcmp(key, "role") == 0) {
        read_choice(node, key, roles, 3, &chosen, findings);
        settings->role = (SettingsRole)chosen;
    }
    else if (strcmp(key, "wire") == 0) {
        read_choice(node, key, wires, 2, &chosen, findings);
        settings->platform_wire = chosen == 1;
    }
    else if (strcmp(key, "found") == 0) {
        read_choice(node, key, flags, 2, &chosen, findings);
        settings->may_bootstrap = chosen == 1;
    }
    else if (strcmp(key, "overload_control") == 0) {
        read_choice(node, key, flags, 2, &chosen, findings);
        settings->overload_control = chosen == 1;
    }
    else if (strcmp(key, "ready") == 0) {
        read_address(node, key, &settings->ready, findings);
    }
    else if (strcmp(key, "vm_service") == 0) {
        read_address(node, key, &settings->vm_service, findings);
    }
    else if (strcmp(key, "advisor") == 0) {
        read_address(node, key, &settings->advisor, findings);
    }
    else if (strcmp(key, "metrics") == 0) {
        read_address(node, key, &settings->metrics, findings);
    }
    else if (strcmp(key, "seeds") == 0) {
        read_seeds(node, settings, findings);
    }
    else {
        return false;
    }
    return true;
}

static void
read_key(Settings *settings, const YamlNode *root, size_t i,
         Findings *findings)
{
    const char *key = YamlNode_GetKey(root, i);
    const YamlNode *node = YamlNode_GetItem(root, i);
    const SettingsEntry *entry = find_entry(key);

    if (entry != NULL) {
        read_entry(settings, entry, node, findings);
    }
    else if (strcmp(key, "name") == 0) {
        read_name(node, key, settings->name, findings);
    }
    else if (strcmp(key, "cluster") == 0) {
        read_name(node, key, settings->cluster, findings);
    }
    else if (strcmp(key, "data_centre") == 0) {
        read_name(node, key, settings->data_centre, findings);
    }
    else if (strcmp(key, "region") == 0) {
        read_name(node, key, settings->region, findings);
    }
    else if (strcmp(key, "data_folder") == 0) {
        read_folder(node, settings, findings);
    }
    else if (strcmp(key, "peer") == 0) {
        read_address(node, key, &settings->peer, findings);
    }
    else if (strcmp(key, "control") == 0) {
        read_address(node, key, &settings->control, findings);
    }
    else if (strcmp(key, "traffic") == 0) {
        read_address(node, key, &settings->traffic, findings);
    }
    else if (strcmp(key, "peers") == 0) {
        read_peers(node, settings, findings);
    }
    else if (!read_job_key(settings, key, node, findings)) {
        Findings_Add(findings, YamlNode_GetKeyLine(root, i), key,
                     "unknown key");
    }
}

static void
check_required(const Settings *settings, const YamlNode *root,
               Findings *findings)
{
    static const struct {
        const char *key;
        bool by_role[3]; /* indexed by SettingsRole */
    } required[] = {
        {"name", {true, true, true}},
        {"cluster", {true, true, true}},
        {"data_centre", {true, true, true}},
        {"peer", {true, true, true}},
        {"control", {true, false, true}},
        {"traffic", {true, false, false}},
        {"data_folder", {false, false, true}},
        {"seeds", {false, true, true}},
    };
    size_t i;

    for (i = 0; i < sizeof(required) / sizeof(required[0]); i++) {
        if (required[i].by_role[settings->role] &&
            YamlNode_FindValue(root, required[i].key) == NULL) {
            Findings_Add(findings, 1, required[i].key, "is missing");
        }
    }
}

static void
check_peer_names(const Settings *settings, const YamlNode *root,
                 Findings *findings)
{
    const YamlNode *peers = YamlNode_FindValue(root, "peers");
    size_t i;
    size_t j;

    /* A file with two peers keys is refused, but until then peer_count is the
     * length of the last list, whereas peers is the first. */
    for (i = 0; i < settings->peer_count && i < YamlNode_CountItems(peers);
         i++) {
        const char *name = settings->peers[i].name;
        bool is_duplicate = strcmp(name, settings->name) == 0;
        for (j = 0; j < i; j++) {
            is_duplicate =
                is_duplicate || strcmp(name, settings->peers[j].name) == 0;
        }
        if (is_duplicate && name[0] != '\0') {
            Findings_Add(findings,
                         YamlNode_GetLine(YamlNode_GetItem(peers, i)), "peers",
                         "the name %s is used twice", name);
        }
    }
}

/* An entry VM serves callers, operators and targets, or both. */
static void
check_entry_addresses(const Settings *settings, Findings *findings)
{
    if (settings->role != SETTINGS_ROLE_ENTRY) {
        return;
    }
    if (settings->traffic.port == 0 && settings->control.port == 0) {
        Findings_Add(findings, 1, "traffic",
                     "is missing; an entry VM needs traffic or control");
    }
    if ((settings->traffic.port == 0) != (settings->ready.port == 0)) {
        Findings_Add(findings, 1, "ready", "must be given with traffic");
    }
}

static void
check_relations(const Settings *settings, Findings *findings)
{
    check_entry_addresses(settings, findings);
    if (settings->heartbeat_ms * 3 > settings->election_ms) {
        Findings_Add(findings, 0, "heartbeat_ms",
                     "must be at most a third of election_ms");
    }
    if (settings->target_heartbeat_ms * 2 > settings->target_suspect_ms) {
        Findings_Add(findings, 0, "target_heartbeat_ms",
                     "must be at most half of target_suspect_ms");
    }
}

Status
Settings_Parse(const char *text, size_t len, Settings *settings,
               Findings *findings)
{
    YamlTree *tree;
    const YamlNode *root;
    size_t i;

    memset(settings, 0, sizeof(*settings));
    for (i = 0; i < SETTINGS_ENTRY_COUNT; i++) {
        *get_entry_value(settings, &settings_entries[i]) =
            settings_entries[i].default_value;
    }
    tree = YamlTree_Parse(text, len, findings);
    if (tree == NULL) {
        return ST_INVALID;
    }
    root = YamlTree_GetRoot(tree);
    if (root == NULL || YamlNode_GetKind(root) != YAML_MAP) {
        Findings_Add(findings, 1, "", "settings must be a map");
        YamlTree_Free(tree);
        return ST_INVALID;
    }
    for (i = 0; i < YamlNode_CountItems(root); i++) {
        read_key(settings, root, i, findings);
    }
    check_required(settings, root, findings);
    check_peer_names(settings, root, findings);
    check_relations(settings, findings);
    YamlTree_Free(tree);
    return Findings_Count(findings) == 0 ? ST_OK : ST_INVALID;
}

Status
Settings_Load(const char *file, Settings *settings, Findings *findings)
{
    FILE *in = fopen(file, "rb");
    char *text;
    size_t len;
    Status status;

    if (in == NULL) {
        Findings_Add(findings, 0, "", "the file cannot be opened");
        return ST_IO;
    }
    text = malloc(YAML_TREE_MAX_BYTES + 1);
    if (text == NULL) {
        fclose(in);
        return ST_NO_MEMORY;
    }
    len = fread(text, 1, YAML_TREE_MAX_BYTES + 1, in);
    fclose(in);
    status = Settings_Parse(text, len, settings, findings);
    free(text);
    return status;
}
