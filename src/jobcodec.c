#include "jobcodec.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "mppack.h"
#include "strmap.h"

/* Limits the memory for a corrupt row count. More rows do not fit into an
 * entry of the log together with the text that they were decoded from. */
#define MAX_CONFIG_ROWS 65536

#define CONFIG_ITEMS 4
#define CONFIG_ITEMS_WITH_TENANTS 5

/* The type of one item in an encoded row. FIELD_DOUBLE is stored as an integer
 * in thousandths. */
typedef enum FieldType {
    FIELD_U32,
    FIELD_U64,
    FIELD_I64,
    FIELD_BOOL,
    FIELD_DOUBLE,
    FIELD_TEXT
} FieldType;

typedef struct Field {
    FieldType type;
    size_t offset;
    size_t size; /* size of the member in bytes */
} Field;

#define FIELD(type, kind, member)                                             \
    {                                                                         \
        FIELD_##kind, offsetof(type, member), sizeof(((type *)NULL)->member)  \
    }

static const Field step_fields[] = {
    FIELD(JobStep, U32, count),
    FIELD(JobStep, U32, need.cpu),
    FIELD(JobStep, U32, need.memory_mb),
    FIELD(JobStep, U32, need.accelerators),
    FIELD(JobStep, U32, estimate_ms),
    FIELD(JobStep, U32, depends_mask),
    FIELD(JobStep, U32, max_per_target),
    FIELD(JobStep, U32, max_unavailable),
    FIELD(JobStep, U32, response_objective_ms),
    FIELD(JobStep, BOOL, checkpointing),
    FIELD(JobStep, BOOL, gang),
    FIELD(JobStep, BOOL, same_rack),
    FIELD(JobStep, BOOL, speculative),
    FIELD(JobStep, BOOL, lasting),
    FIELD(JobStep, BOOL, best_effort),
    FIELD(JobStep, TEXT, label),
    FIELD(JobStep, TEXT, rack),
    FIELD(JobStep, TEXT, image),
};

static const Field queue_fields[] = {
    FIELD(JobQueue, TEXT, name),
    FIELD(JobQueue, TEXT, host),
    FIELD(JobQueue, TEXT, prefix),
    FIELD(JobQueue, TEXT, pool),
    FIELD(JobQueue, U32, timeout_ms),
    FIELD(JobQueue, U32, objective_ms),
    FIELD(JobQueue, U32, priority),
    FIELD(JobQueue, U32, max_attempts),
    FIELD(JobQueue, DOUBLE, slack),
    FIELD(JobQueue, BOOL, uses_advisor),
    FIELD(JobQueue, U32, advice_validity_ms),
    FIELD(JobQueue, BOOL, is_public), /* only if there are tenants */
};

static const Field tenant_fields[] = {
    FIELD(JobTenant, TEXT, name),
    FIELD(JobTenant, U32, weight),
    FIELD(JobTenant, U32, cap.cpu),
    FIELD(JobTenant, U32, cap.memory_mb),
    FIELD(JobTenant, U32, cap.accelerators),
};

static const Field terms_fields[] = {
    FIELD(JobTerms, U32, max_attempts),
    FIELD(JobTerms, U32, objective_ms),
    FIELD(JobTerms, DOUBLE, slack),
};

static const Field pool_fields[] = {
    FIELD(JobPool, TEXT, name),
    FIELD(JobPool, TEXT, health_path),
    FIELD(JobPool, BOOL, enforces_capacity),
    FIELD(JobPool, BOOL, standby),
};

static const Field announcement_fields[] = {
    FIELD(JobAnnouncement, TEXT, id),
    FIELD(JobAnnouncement, TEXT, address),
    FIELD(JobAnnouncement, TEXT, pool),
    FIELD(JobAnnouncement, TEXT, data_centre),
    FIELD(JobAnnouncement, TEXT, vm),
    FIELD(JobAnnouncement, U32, label_count),
    FIELD(JobAnnouncement, U32, room.cpu),
    FIELD(JobAnnouncement, U32, room.memory_mb),
    FIELD(JobAnnouncement, U32, room.accelerators),
    FIELD(JobAnnouncement, U64, born),
    FIELD(JobAnnouncement, BOOL, leaving),
};

static const Field task_fields[] = {
    FIELD(JobTaskRef, TEXT, job),
    FIELD(JobTaskRef, U32, occurrence),
    FIELD(JobTaskRef, U32, step),
    FIELD(JobTaskRef, U32, index),
};

#define FIELD_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

static void
pack_field(msgpack_packer *packer, const Field *field, const char *row)
{
    const void *at = row + field->offset;

    switch (field->type) {
    case FIELD_U32:
        msgpack_pack_uint32(packer, *(const uint32_t *)at);
        break;
    case FIELD_U64:
        msgpack_pack_uint64(packer, *(const uint64_t *)at);
        break;
    case FIELD_I64:
        msgpack_pack_int64(packer, *(const int64_t *)at);
        break;
    case FIELD_BOOL:
        *(const bool *)at ? msgpack_pack_true(packer)
                          : msgpack_pack_false(packer);
        break;
    case FIELD_DOUBLE:
        msgpack_pack_uint32(packer,
                            (uint32_t)(*(const double *)at * 1000.0 + 0.5));
        break;
    case FIELD_TEXT:
        MpPack_Text(packer, at);
        break;
    }
}

static bool
read_field(MpRead *reader, const Field *field, char *row)
{
    void *at = row + field->offset;
    uint32_t thousandths = 0;

    switch (field->type) {
    case FIELD_U32:
        return MpRead_U32(reader, at);
    case FIELD_U64:
        return MpRead_U64(reader, at);
    case FIELD_I64:
        return MpRead_I64(reader, at);
    case FIELD_BOOL:
        return MpRead_Bool(reader, at);
    case FIELD_DOUBLE:
        if (!MpRead_U32(reader, &thousandths)) {
            return false;
        }
        *(double *)at = thousandths / 1000.0;
        return true;
    case FIELD_TEXT:
        return MpRead_Text(reader, at, field->size);
    }
    return false;
}

static void
pack_row(msgpack_packer *packer, const Field *fields, size_t count,
         const void *row)
{
    size_t i;

    msgpack_pack_array(packer, count);
    for (i = 0; i < count; i++) {
        pack_field(packer, &fields[i], row);
    }
}

static bool
read_row(MpRead *reader, const Field *fields, size_t count, void *row)
{
    size_t i;

    if (!MpRead_ArrayOf(reader, (uint32_t)count)) {
        return false;
    }
    for (i = 0; i < count; i++) {
        if (!read_field(reader, &fields[i], row)) {
            return false;
        }
    }
    return true;
}

/* Reads an array header and allocates zeroed rows for the items. */
static bool
allocate_rows(MpRead *reader, uint32_t max, size_t row_bytes, void **rows,
              uint32_t *count)
{
    *rows = NULL;
    *count = 0;
    if (!MpRead_Array(reader, count) || *count > max) {
        *count = 0;
        reader->failed = true;
        return false;
    }
    *rows = Mem_New(*count + 1, row_bytes);
    return true;
}

static bool
read_blob(MpRead *reader, char **text, size_t *len)
{
    const char *bytes;

    if (!MpRead_Bin(reader, &bytes, len)) {
        return false;
    }
    *text = Mem_New(1, *len + 1);
    memcpy(*text, bytes, *len);
    (*text)[*len] = '\0';
    return true;
}

static void
pack_blob(msgpack_packer *packer, const char *text, size_t len)
{
    msgpack_pack_bin_with_body(packer, text != NULL ? text : "", len);
}

void
JobCodec_PackSpec(msgpack_packer *packer, const JobSpec *spec)
{
    uint32_t i;

    msgpack_pack_array(packer, 5);
    pack_blob(packer, spec->text, spec->text_len);
    msgpack_pack_array(packer, spec->step_count);
    for (i = 0; i < spec->step_count; i++) {
        pack_row(packer, step_fields, FIELD_COUNT(step_fields),
                 &spec->steps[i]);
    }
    msgpack_pack_uint32(packer, spec->repeats);
    msgpack_pack_int64(packer, spec->start_ms);
    msgpack_pack_int64(packer, spec->interval_ms);
}

bool
JobCodec_ReadSpec(MpRead *reader, JobSpec *spec)
{
    uint32_t items;
    uint32_t i;

    memset(spec, 0, sizeof(*spec));
    if (!MpRead_Array(reader, &items) || items != 5 ||
        !read_blob(reader, &spec->text, &spec->text_len) ||
        !allocate_rows(reader, JOB_MAX_STEPS, sizeof(JobStep),
                       (void **)&spec->steps, &spec->step_count)) {
        return false;
    }
    for (i = 0; i < spec->step_count; i++) {
        if (!read_row(reader, step_fields, FIELD_COUNT(step_fields),
                      &spec->steps[i])) {
            return false;
        }
    }
    return MpRead_U32(reader, &spec->repeats) &&
           MpRead_I64(reader, &spec->start_ms) &&
           MpRead_I64(reader, &spec->interval_ms) &&
           JobSpec_Check(spec) == NULL;
}

void
JobSpec_Free(JobSpec *spec)
{
    free(spec->text);
    free(spec->steps);
    memset(spec, 0, sizeof(*spec));
}

uint32_t
JobSpec_CountTasks(const JobSpec *spec)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < spec->step_count; i++) {
        count += spec->steps[i].count;
    }
    return count;
}

const char *
JobSpec_Check(const JobSpec *spec)
{
    uint64_t tasks = 0;
    uint32_t i;

    if (spec->step_count == 0 || spec->step_count > JOB_MAX_STEPS) {
        return "the count of steps is out of bounds";
    }
    for (i = 0; i < spec->step_count; i++) {
        if (spec->steps[i].count == 0) {
            return "a step has no tasks";
        }
        if (i < 32 && (spec->steps[i].depends_mask >> i) != 0) {
            return "a step depends on itself or on a later one";
        }
        tasks += spec->steps[i].count;
    }
    if (tasks > JOB_MAX_TASKS) {
        return "the job has too many tasks";
    }
    if (spec->repeats > JOB_MAX_REPEATS || spec->interval_ms < 0) {
        return "the repetition is out of bounds";
    }
    return NULL;
}

/* Returns the number of items in the row of a queue. */
static size_t
count_queue_fields(bool has_tenants)
{
    return FIELD_COUNT(queue_fields) - (has_tenants ? 0 : 1);
}

static void
pack_tenants(msgpack_packer *packer, const JobConfig *config)
{
    size_t i;
    size_t k;

    msgpack_pack_array(packer, config->tenant_count);
    for (i = 0; i < config->tenant_count; i++) {
        const JobTenant *tenant = &config->tenants[i];
        msgpack_pack_array(packer, 2);
        pack_row(packer, tenant_fields, FIELD_COUNT(tenant_fields), tenant);
        msgpack_pack_array(packer, tenant->key_count);
        for (k = 0; k < tenant->key_count; k++) {
            MpPack_Text(packer, tenant->keys[k]);
        }
    }
}

/* Nodes of versions without tenants read a configuration that has none. */
void
JobCodec_PackConfig(msgpack_packer *packer, const JobConfig *config)
{
    bool has_tenants = config->tenant_count > 0;
    size_t i;

    msgpack_pack_array(packer,
                       has_tenants ? CONFIG_ITEMS_WITH_TENANTS : CONFIG_ITEMS);
    msgpack_pack_uint64(packer, config->version);
    msgpack_pack_array(packer, config->queue_count);
    for (i = 0; i < config->queue_count; i++) {
        pack_row(packer, queue_fields, count_queue_fields(has_tenants),
                 &config->queues[i]);
    }
    msgpack_pack_array(packer, config->pool_count);
    for (i = 0; i < config->pool_count; i++) {
        pack_row(packer, pool_fields, FIELD_COUNT(pool_fields),
                 &config->pools[i]);
    }
    pack_blob(packer, config->text, config->text_len);
    if (has_tenants) {
        pack_tenants(packer, config);
    }
}

static bool
read_tenant(MpRead *reader, JobTenant *tenant)
{
    uint32_t count;
    size_t i;

    if (!MpRead_ArrayOf(reader, 2) ||
        !read_row(reader, tenant_fields, FIELD_COUNT(tenant_fields), tenant) ||
        !allocate_rows(reader, MAX_CONFIG_ROWS, JOB_KEY_BYTES,
                       (void **)&tenant->keys, &count)) {
        return false;
    }
    tenant->key_count = count;
    for (i = 0; i < tenant->key_count; i++) {
        if (!MpRead_Text(reader, tenant->keys[i], JOB_KEY_BYTES)) {
            return false;
        }
    }
    return true;
}

static bool
read_tenants(MpRead *reader, JobConfig *config)
{
    uint32_t count;
    size_t i;

    if (!allocate_rows(reader, MAX_CONFIG_ROWS, sizeof(JobTenant),
                       (void **)&config->tenants, &count)) {
        return false;
    }
    config->tenant_count = count;
    for (i = 0; i < config->tenant_count; i++) {
        if (!read_tenant(reader, &config->tenants[i])) {
            return false;
        }
    }
    return true;
}

bool
JobCodec_ReadConfig(MpRead *reader, JobConfig *config)
{
    uint32_t items;
    uint32_t count;
    size_t i;

    memset(config, 0, sizeof(*config));
    if (!MpRead_Array(reader, &items) ||
        (items != CONFIG_ITEMS && items != CONFIG_ITEMS_WITH_TENANTS) ||
        !MpRead_U64(reader, &config->version) ||
        !allocate_rows(reader, MAX_CONFIG_ROWS, sizeof(JobQueue),
                       (void **)&config->queues, &count)) {
        return false;
    }
    config->queue_count = count;
    for (i = 0; i < config->queue_count; i++) {
        if (!read_row(reader, queue_fields,
                      count_queue_fields(items == CONFIG_ITEMS_WITH_TENANTS),
                      &config->queues[i])) {
            return false;
        }
    }
    if (!allocate_rows(reader, MAX_CONFIG_ROWS, sizeof(JobPool),
                       (void **)&config->pools, &count)) {
        return false;
    }
    config->pool_count = count;
    for (i = 0; i < config->pool_count; i++) {
        if (!read_row(reader, pool_fields, FIELD_COUNT(pool_fields),
                      &config->pools[i])) {
            return false;
        }
    }
    return read_blob(reader, &config->text, &config->text_len) &&
           (items == CONFIG_ITEMS || read_tenants(reader, config));
}

void
JobConfig_Free(JobConfig *config)
{
    size_t i;

    for (i = 0; i < config->tenant_count; i++) {
        free(config->tenants[i].keys);
    }
    free(config->tenants);
    free(config->queues);
    free(config->pools);
    free(config->text);
    memset(config, 0, sizeof(*config));
}

static int
compare_routes(const void *a, const void *b)
{
    const JobQueue *const *left = a;
    const JobQueue *const *right = b;
    int order = strcmp((*left)->host, (*right)->host);

    return order != 0 ? order : strcmp((*left)->prefix, (*right)->prefix);
}

/* Reports queues with the same host and prefix, since a request would match
 * both. */
static void
check_routes(const JobConfig *config, Findings *findings)
{
    const JobQueue **rows = Mem_New(config->queue_count + 1, sizeof(*rows));
    size_t i;

    for (i = 0; i < config->queue_count; i++) {
        rows[i] = &config->queues[i];
    }
    qsort(rows, config->queue_count, sizeof(*rows), compare_routes);
    for (i = 1; i < config->queue_count; i++) {
        if (compare_routes(&rows[i - 1], &rows[i]) == 0) {
            Findings_Add(findings, 0, rows[i]->name,
                         "has the host and prefix of %s", rows[i - 1]->name);
        }
    }
    free(rows);
}

typedef struct KeyRow {
    const char *key;
    const JobTenant *tenant;
} KeyRow;

static int
compare_keys(const void *a, const void *b)
{
    return strcmp(((const KeyRow *)a)->key, ((const KeyRow *)b)->key);
}

/* Reports tenants that share a key, without naming the key, which is secret.
 */
static void
check_keys(const JobConfig *config, Findings *findings)
{
    KeyRow *rows;
    size_t count = 0;
    size_t i;
    size_t k;

    for (i = 0; i < config->tenant_count; i++) {
        count += config->tenants[i].key_count;
    }
    rows = Mem_New(count + 1, sizeof(*rows));
    count = 0;
    for (i = 0; i < config->tenant_count; i++) {
        for (k = 0; k < config->tenants[i].key_count; k++) {
            rows[count++] =
                (KeyRow){config->tenants[i].keys[k], &config->tenants[i]};
        }
    }
    qsort(rows, count, sizeof(*rows), compare_keys);
    for (i = 1; i < count; i++) {
        if (strcmp(rows[i - 1].key, rows[i].key) == 0 &&
            rows[i - 1].tenant != rows[i].tenant) {
            Findings_Add(findings, 0, rows[i].tenant->name, "has a key of %s",
                         rows[i - 1].tenant->name);
        }
    }
    free(rows);
}

static void
check_tenant_names(const JobConfig *config, Findings *findings)
{
    StrMap *names = StrMap_New();
    size_t i;

    for (i = 0; i < config->tenant_count; i++) {
        JobTenant *tenant = &config->tenants[i];
        if (StrMap_Get(names, tenant->name) != NULL) {
            Findings_Add(findings, 0, tenant->name,
                         "two tenants have this name");
        }
        else {
            StrMap_Put(names, tenant->name, tenant);
        }
    }
    StrMap_Free(names);
}

void
JobConfig_Check(const JobConfig *config, Findings *findings)
{
    StrMap *pools = StrMap_New();
    size_t i;

    if (config->version == 0) {
        Findings_Add(findings, 0, "version", "must be from 1");
    }
    for (i = 0; i < config->pool_count; i++) {
        StrMap_Put(pools, config->pools[i].name, &config->pools[i]);
    }
    for (i = 0; i < config->queue_count; i++) {
        const JobQueue *queue = &config->queues[i];
        if (StrMap_Get(pools, queue->pool) == NULL) {
            Findings_Add(findings, 0, queue->name, "unknown pool %s",
                         queue->pool);
        }
        if (queue->timeout_ms == 0) {
            Findings_Add(findings, 0, queue->name, "the timeout is 0");
        }
        if (queue->max_attempts == 0) {
            Findings_Add(findings, 0, queue->name, "no attempt is allowed");
        }
    }
    StrMap_Free(pools);
    check_routes(config, findings);
    check_keys(config, findings);
    check_tenant_names(config, findings);
}

const JobTenant *
JobConfig_FindTenant(const JobConfig *config, const char *name)
{
    size_t i;

    for (i = 0; i < config->tenant_count; i++) {
        if (strcmp(config->tenants[i].name, name) == 0) {
            return &config->tenants[i];
        }
    }
    return NULL;
}

const JobQueue *
JobConfig_FindQueue(const JobConfig *config, const char *name)
{
    size_t i;

    for (i = 0; i < config->queue_count; i++) {
        if (strcmp(config->queues[i].name, name) == 0) {
            return &config->queues[i];
        }
    }
    return NULL;
}

const JobPool *
JobConfig_FindPool(const JobConfig *config, const char *name)
{
    size_t i;

    for (i = 0; i < config->pool_count; i++) {
        if (strcmp(config->pools[i].name, name) == 0) {
            return &config->pools[i];
        }
    }
    return NULL;
}

const JobQueue *
JobConfig_MatchQueue(const JobConfig *config, const char *host,
                     const char *path)
{
    const JobQueue *best = NULL;
    size_t best_len = 0;
    size_t i;

    for (i = 0; i < config->queue_count; i++) {
        const JobQueue *queue = &config->queues[i];
        size_t len = strlen(queue->prefix);
        if (strcmp(queue->host, host) == 0 &&
            strncmp(queue->prefix, path, len) == 0 &&
            (best == NULL || len > best_len)) {
            best = queue;
            best_len = len;
        }
    }
    return best;
}

void
JobCodec_PackAnnouncement(msgpack_packer *packer,
                          const JobAnnouncement *announcement)
{
    uint32_t i;

    msgpack_pack_array(packer, 2);
    pack_row(packer, announcement_fields, FIELD_COUNT(announcement_fields),
             announcement);
    msgpack_pack_array(packer, announcement->label_count);
    for (i = 0; i < announcement->label_count; i++) {
        MpPack_Text(packer, announcement->labels[i]);
    }
}

bool
JobCodec_ReadAnnouncement(MpRead *reader, JobAnnouncement *announcement)
{
    uint32_t items;
    uint32_t labels;
    uint32_t i;

    memset(announcement, 0, sizeof(*announcement));
    if (!MpRead_Array(reader, &items) || items != 2 ||
        !read_row(reader, announcement_fields,
                  FIELD_COUNT(announcement_fields), announcement) ||
        !MpRead_Array(reader, &labels) ||
        labels != announcement->label_count || labels > JOB_MAX_LABELS) {
        reader->failed = true;
        return false;
    }
    for (i = 0; i < labels; i++) {
        if (!MpRead_Text(reader, announcement->labels[i], JOB_LABEL_BYTES)) {
            return false;
        }
    }
    return true;
}

void
JobCodec_PackTerms(msgpack_packer *packer, const JobTerms *terms)
{
    pack_row(packer, terms_fields, FIELD_COUNT(terms_fields), terms);
}

bool
JobCodec_ReadTerms(MpRead *reader, JobTerms *terms)
{
    return read_row(reader, terms_fields, FIELD_COUNT(terms_fields), terms);
}

void
JobCodec_PackTaskRef(msgpack_packer *packer, const JobTaskRef *task)
{
    pack_row(packer, task_fields, FIELD_COUNT(task_fields), task);
}

bool
JobCodec_ReadTaskRef(MpRead *reader, JobTaskRef *task)
{
    return read_row(reader, task_fields, FIELD_COUNT(task_fields), task);
}
