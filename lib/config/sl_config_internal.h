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
    struct sl_name name; /* of the version, upstream or failure domain */
    bool in_service;     /* in service */
};

/* A value in parsed form. Its memory ends after the member of the union that
 * `type` selects. */
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

/* A key with its value, as JSON and parsed. Owns all of them. */
struct sl_config_entry {
    char *key;
    uint64_t revision; /* offset of the record that last changed the key */
    json_t *value;
    struct sl_config_value *parsed;
};

struct sl_config {
    uint64_t offset;      /* of the last record applied, or 0 */
    GTree *entries;       /* key -> struct sl_config_entry, owned */
    GHashTable *labels;   /* name -> struct sl_config_value of an entry */
    GPtrArray *selectors; /* struct sl_config_value, by rank, then name */
    /* Ids of the last records applied. A writer that gets no response appends
     * its record again; the second copy must have no effect. */
    GQueue *recent_ids;   /* char *, owned, oldest first */
    GHashTable *ids_seen; /* set of the strings in recent_ids */
};

/* Returns the entry of a key, or NULL. */
struct sl_config_entry *SlConfig_FindEntry(const struct sl_config *config,
                                           const char *key);
/* Parses `value` under `key` and checks that the labels to which it refers
 * exist and fit. On success the caller frees `*out` with g_free(). */
enum sl_errno SlConfigValue_Parse(const struct sl_config *config,
                                  const char *key, const json_t *value,
                                  struct sl_config_value **out,
                                  struct sl_error *err);
/* Checks that a home record lists the members that it replaces: processes that
 * start later must know which members have to confirm the move. Called when
 * the record is applied, not when a snapshot is restored: by then the members
 * that it replaced are no longer in the configuration. */
enum sl_errno SlConfigValue_CheckPrevious(const struct sl_config *config,
                                          const struct sl_home *home,
                                          struct sl_error *err);
/* Fails if the label under `key` cannot be replaced by `parsed`, or be removed
 * if `parsed` is NULL: because its type would change, or because an entry that
 * refers to it would become invalid. Succeeds for keys of other kinds. Changes
 * the index of labels during the check and restores it. */
enum sl_errno SlConfigValue_CheckReferences(const struct sl_config *config,
                                            const char *key,
                                            struct sl_config_value *parsed,
                                            struct sl_error *err);
/* Returns the name under which a label is indexed, or NULL if `parsed` is not
 * a label. */
struct sl_name *SlConfigValue_LabelName(struct sl_config_value *parsed);
/* Puts `parsed` into the index of labels under `name`, or removes the label
 * from the index if `parsed` is NULL. The index borrows `parsed`. */
void SlConfigValue_Index(const struct sl_config *config,
                         const struct sl_name *name,
                         struct sl_config_value *parsed);
/* Returns the label of this name and type, or NULL. */
const struct sl_config_value *
SlConfigValue_FindLabel(const struct sl_config *config,
                        const struct sl_name *name,
                        enum sl_config_value_type type);

#endif
