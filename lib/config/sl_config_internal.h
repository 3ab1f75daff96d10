/* Shared by the files of sl_config. */
#ifndef Sl_CONFIG_INTERNAL_H
#define Sl_CONFIG_INTERNAL_H

#include "sl_config.h"

/* Step in the errors of applying records. */
#define Sl_CONFIG_STEP "config.fold"

enum sl_config_value_type {
    Sl_VALUE_SERVICE,
    Sl_VALUE_VERSION,
    Sl_VALUE_UPSTREAM,
    Sl_VALUE_SELECTOR,
    Sl_VALUE_MARK,
    Sl_VALUE_HOME,
};

enum sl_mark_target {
    Sl_MARK_VERSION,
    Sl_MARK_UPSTREAM,
    Sl_MARK_DOMAIN,
};

struct sl_mark {
    enum sl_mark_target target;
    struct sl_name name;
    bool in; /* in service */
};

/* A parsed value. */
struct sl_config_value {
    enum sl_config_value_type type;
    union {
        struct sl_service service;
        struct sl_version version;
        struct sl_upstream upstream;
        struct sl_selector selector;
        struct sl_mark mark;
        struct sl_home home;
    } u;
};

/* A key with its value, as JSON and parsed. */
struct sl_config_entry {
    char *key;
    uint64_t revision;
    json_t *value;
    struct sl_config_value *parsed;
};

struct sl_config {
    uint64_t offset;
    GTree *entries;       /* key -> struct sl_config_entry, sorted by key */
    GHashTable *labels;   /* name -> struct sl_config_value */
    GPtrArray *selectors; /* struct sl_config_value, by rank then name */
    /* Ids of the last records applied. A writer that gets no response appends
     * its record again; the second copy must have no effect. */
    GQueue *recent_ids;   /* char *, oldest first */
    GHashTable *ids_seen; /* set of the strings in recent_ids, not owned */
};

/* Returns the entry of a key, or NULL. */
struct sl_config_entry *SlConfig_FindEntry(const struct sl_config *config,
                                           const char *key);
/* Parses `value` under `key` and checks its references against `config`.
 * On success `*out` is owned by the caller. */
enum sl_errno SlConfigValue_Parse(const struct sl_config *config,
                                  const char *key, const json_t *value,
                                  struct sl_config_value **out,
                                  struct sl_error *err);
/* Checks that a home record lists the members that it replaces: processes that
 * start later must know which members have to confirm the move. Only holds
 * when the record is applied, not in a snapshot. */
enum sl_errno SlConfigValue_CheckPrevious(const struct sl_config *config,
                                          const struct sl_home *home,
                                          struct sl_error *err);
/* Fails if an entry refers to the label under `key` and would not be valid
 * after `parsed` replaced that label (NULL: after its removal). The index of
 * labels is the same afterwards. */
enum sl_errno SlConfigValue_CheckReferences(const struct sl_config *config,
                                            const char *key,
                                            struct sl_config_value *parsed,
                                            struct sl_error *err);
/* The name under which a label is indexed; NULL for other values. */
struct sl_name *SlConfigValue_LabelName(struct sl_config_value *parsed);
/* Indexes `parsed` as the label `name`; NULL removes the label from the
 * index. */
void SlConfigValue_Index(const struct sl_config *config,
                         const struct sl_name *name,
                         struct sl_config_value *parsed);
/* Returns the label of this name and type, or NULL. */
const struct sl_config_value *
SlConfigValue_FindLabel(const struct sl_config *config,
                        const struct sl_name *name,
                        enum sl_config_value_type type);

#endif
