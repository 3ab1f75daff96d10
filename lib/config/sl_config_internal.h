/* Shared by the files of sl_config. */
#ifndef Sl_CONFIG_INTERNAL_H
#define Sl_CONFIG_INTERNAL_H

#include "sl_config.h"

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
    bool in;
};

/* One parsed value. */
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

/* One key with its value. */
struct sl_config_entry {
    char *key;
    uint64_t revision;
    json_t *value;
    struct sl_config_value *part;
};

struct sl_config {
    uint64_t offset;
    GTree *records;       /* key -> struct sl_config_entry, in order of key */
    GHashTable *parts;    /* name -> struct sl_config_value, labels only */
    GPtrArray *selectors; /* struct sl_config_value, by rank then name */
    /* Ids of the last records folded, so that one appended twice after a
     * lost answer counts once. */
    GQueue *recent_ids;   /* char *, oldest first */
    GHashTable *ids_seen; /* the texts of recent_ids, which owns them */
};

/* The record of a key, or NULL. */
struct sl_config_entry *SlConfig_FindEntry(const struct sl_config *config,
                                           const char *key);
/* Parses `value` under `key` and checks its references against `config`.
 * On success `*out` is owned by the caller. */
enum sl_errno SlConfigValue_Parse(const struct sl_config *config,
                                  const char *key, const json_t *value,
                                  struct sl_config_value **out,
                                  struct sl_error *err);
/* A home record must name the members that it replaces, so that a process
 * which starts later knows whose word the move needs. Holds when the record
 * is written only. */
enum sl_errno SlConfigValue_CheckPrevious(const struct sl_config *config,
                                          const struct sl_home *home,
                                          struct sl_error *err);
/* Fails when a record in force refers to the label under `key` and would not
 * be valid once `part` (NULL: nothing) stands there. Leaves the index of
 * labels as it was. */
enum sl_errno SlConfigValue_CheckReferences(const struct sl_config *config,
                                            const char *key,
                                            struct sl_config_value *part,
                                            struct sl_error *err);
/* The name under which a label is indexed; NULL for other parts. */
struct sl_name *SlConfigValue_LabelName(struct sl_config_value *part);
/* Makes `part` the label `name`; NULL takes the label out of the index. */
void SlConfigValue_Index(const struct sl_config *config,
                         const struct sl_name *name,
                         struct sl_config_value *part);
/* The label of that name and type, or NULL. */
const struct sl_config_value *
SlConfigValue_FindLabel(const struct sl_config *config,
                        const struct sl_name *name,
                        enum sl_config_value_type type);

#endif
