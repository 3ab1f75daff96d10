/*
 * sl_config: the replicated configuration, built from a stream of records.
 *
 * Operators publish records to one stream of the platform's log. Every process
 * applies the same records in the order of their offsets, and so reaches the
 * same configuration. A record is a JSON object
 *
 *     {"key": "selector/verses", "id": "unique text", "by": "operator",
 *      "base": REVISION, "value": {...} or null}
 *
 * A key's revision is the offset of the record that last changed it. `base` is
 * the revision that the writer saw, or 0 if the key had no value. `id` tells
 * copies of a record apart from other records, `by` names the writer; a null
 * `value` removes the key. All processes reject a record, without any effect
 * on the configuration, if its base is stale, if its value breaks a rule, or
 * if it would make the value of another key invalid.
 *
 * Keys, with what their values define:
 *   label/NAME          a service, a version of a model, or an upstream
 *   selector/NAME       which requests may use which service and versions
 *   mark/version/NAME   whether the version is in service
 *   mark/upstream/NAME  whether the upstream is in service
 *   mark/domain/NAME    whether the failure domain's upstreams are in service
 *   home/SERVICE        the upstreams among which an idempotency key, which a
 *                       client sends with a request that is not idempotent,
 *                       gets its home: the one upstream that decides whether
 *                       a request with this key was already run
 *
 * Sections, from simple to advanced:
 *   1. Values     labels, selectors, homes
 *   2. Records    create, apply records, revisions
 *   3. Queries    labels, marks, homes; what a request may use
 *   4. Snapshots  identical bytes at the same offset on every process
 *
 * Pointers returned by a query are valid until the next SlConfig_Apply() or
 * SlConfig_Restore().
 */
#ifndef Sl_CONFIG_H
#define Sl_CONFIG_H

#include "sl_common.h"

/* Maximum number of teams in a selector. */
#define Sl_MAX_TEAMS 64
/* Maximum number of kinds of request in a selector. */
#define Sl_MAX_KINDS 16
/* Maximum number of versions in a selector's cascade. */
#define Sl_MAX_CASCADE_STEPS 8
/* Maximum number of upstreams in a home record. */
#define Sl_MAX_HOME_MEMBERS 128
/* Maximum number of versions in an upstream's label. */
#define Sl_MAX_UPSTREAM_VERSIONS 32
/* The longest key is "mark/upstream/", 14 bytes, and a name. */
#define Sl_KEY_MAX_BYTES (Sl_NAME_MAX_BYTES + 14)

/* ---- 1. Values -------------------------------------------------------- */

enum sl_service_type {
    Sl_SERVICE_ENGINE, /* model engine: runs versions of models */
    Sl_SERVICE_PLAIN,  /* any other service: has no versions */
};

/* Label {"type": "service", "adapter": "engine" | "plain"}. */
struct sl_service {
    struct sl_name name;
    enum sl_service_type type;
};

/* Label {"type": "version", "service", "model", "cost_micros", "quality"}. */
struct sl_version {
    struct sl_name name;
    struct sl_name service;
    struct sl_name model;
    int64_t cost_micros; /* of a request, in millionths of the currency */
    double quality;      /* share of good answers expected before any rating */
    bool out_of_service; /* by the mark of the version */
};

/* Label {"type": "upstream", "service", "domain", "limit", "cold_limit",
 * "fencing", "versions"}. */
struct sl_upstream {
    struct sl_name name;
    struct sl_name service;
    struct sl_name domain;
    int64_t limit;      /* on concurrent requests, when warm */
    int64_t cold_limit; /* on concurrent requests, when cold after a start */
    bool fencing;       /* refuses orders with an old fencing number */
    /* By the mark of the upstream; that of its failure domain is separate. */
    bool out_of_service;
    size_t version_count; /* 0: may run all versions of the service */
    /* In a configuration, memory is allocated for `version_count` only. */
    struct sl_name versions[Sl_MAX_UPSTREAM_VERSIONS];
};

/* The least urgent priority; the most urgent one is 0. */
#define Sl_PRIORITY_MAX 9

/* Which requests may use a service, and with which versions. A request gets
 * the first selector, by rank and then by name, that matches its team, kind
 * and session. */
struct sl_selector {
    struct sl_name name;
    int64_t rank;
    size_t team_count; /* 0: all teams */
    struct sl_name teams[Sl_MAX_TEAMS];
    size_t kind_count; /* 0: all kinds */
    struct sl_name kinds[Sl_MAX_KINDS];
    struct sl_name session_prefix; /* empty: all sessions */
    struct sl_name service;
    /* Versions to try until one gives a good answer, cheapest first. A plain
     * service has none. */
    size_t cascade_count;
    struct sl_name cascade[Sl_MAX_CASCADE_STEPS];
    struct sl_name canary; /* version that is being rolled out, or empty */
    double canary_share;   /* share of new sessions that start with it */
    double quality;        /* target share of good answers */
    bool idempotent;       /* requests may be run more than once */
    bool may_wait;         /* requests may wait for a busy upstream */
    int64_t priority;      /* 0 to Sl_PRIORITY_MAX */
    int64_t deadline_ms;   /* time limit of a request that sets none */
};

/* The upstreams among which SlHome_MemberForKey() chooses the home of an
 * idempotency key. */
struct sl_home {
    struct sl_name service;
    uint64_t revision; /* offset of the record; 0 if there is none */
    size_t member_count;
    struct sl_name members[Sl_MAX_HOME_MEMBERS]; /* upstreams */
    /* Members according to the record that this one replaced. */
    size_t previous_count;
    struct sl_name previous[Sl_MAX_HOME_MEMBERS];
};

/* ---- 2. Records ------------------------------------------------------- */

struct sl_config;

/* Returns an empty configuration, with offset 0. */
struct sl_config *SlConfig_New(void);
/* Accepts NULL. */
void SlConfig_Free(struct sl_config *config);

enum sl_apply_result {
    Sl_APPLY_ACCEPTED,
    Sl_APPLY_STALE,     /* `base` is not the key's current revision */
    Sl_APPLY_INVALID,   /* malformed, or breaks a rule */
    Sl_APPLY_DUPLICATE, /* a record with this id was applied before */
};

/* "accepted", "stale", "invalid" or "repeated". */
const char *SlApplyResult_Name(enum sl_apply_result result);

/* Applies the record at `offset`, which must be SlConfig_Offset() + 1 (this is
 * asserted). `record` may be any JSON value; the offset advances whatever the
 * result is. `err` receives the reason for a result other than
 * Sl_APPLY_ACCEPTED and may be NULL. */
enum sl_apply_result SlConfig_Apply(struct sl_config *config, uint64_t offset,
                                    const json_t *record,
                                    struct sl_error *err);
/* Returns Sl_OK if `value` would now be accepted under `key`, otherwise
 * Sl_ERR_INVALID. Changes nothing. */
enum sl_errno SlConfig_Check(const struct sl_config *config, const char *key,
                             const json_t *value, struct sl_error *err);
/* Offset of the last record applied; 0 if there was none. */
uint64_t SlConfig_Offset(const struct sl_config *config);
/* Revision of a key; 0 if it has no value. */
uint64_t SlConfig_Revision(const struct sl_config *config, const char *key);
/* Value of a key, borrowed, or NULL. */
const json_t *SlConfig_Value(const struct sl_config *config, const char *key);
/* Keys that have a value, sorted; the caller frees the list with
 * g_strfreev(). */
char **SlConfig_Keys(const struct sl_config *config);

/* ---- 3. Queries ------------------------------------------------------- */

/* The attributes of a request that determine its selector. */
struct sl_request_attributes {
    struct sl_name team;
    struct sl_name session;
    struct sl_name kind;
};

/* Returns the selector of a request with these attributes, or NULL if none
 * matches. */
const struct sl_selector *
SlConfig_FindSelector(const struct sl_config *config,
                      const struct sl_request_attributes *attributes);
/* The next three functions return NULL if there is no label of this name and
 * type. */
const struct sl_service *SlConfig_FindService(const struct sl_config *config,
                                              const struct sl_name *name);
const struct sl_version *SlConfig_FindVersion(const struct sl_config *config,
                                              const struct sl_name *name);
const struct sl_upstream *SlConfig_FindUpstream(const struct sl_config *config,
                                                const struct sl_name *name);
/* Returns true if the upstream exists and neither it nor its failure domain is
 * marked out of service. */
bool SlConfig_IsUpstreamInService(const struct sl_config *config,
                                  const struct sl_name *name);
/* Returns true if the failure domain is not marked out of service. */
bool SlConfig_IsDomainInService(const struct sl_config *config,
                                const struct sl_name *domain);
/* Writes the first `max` upstreams of a service, sorted by name, to `out`.
 * Returns the number written. */
size_t SlConfig_ListUpstreams(const struct sl_config *config,
                              const struct sl_name *service,
                              const struct sl_upstream **out, size_t max);
/* Like SlConfig_ListUpstreams(), for the versions of a service. */
size_t SlConfig_ListVersions(const struct sl_config *config,
                             const struct sl_name *service,
                             const struct sl_version **out, size_t max);
/* Like SlConfig_ListUpstreams(), for the versions of all services. */
size_t SlConfig_ListAllVersions(const struct sl_config *config,
                                const struct sl_version **out, size_t max);
/* Returns true if the upstream's label lists `version`, or lists none. */
bool SlUpstream_Serves(const struct sl_upstream *upstream,
                       const struct sl_name *version);
/* Returns true if `version` is a cascade step or canary of the selector. */
bool SlSelector_Allows(const struct sl_selector *selector,
                       const struct sl_name *version);
/* Returns Sl_OK if a request with these attributes may now run `version`
 * (empty for a plain service) on `upstream`, otherwise Sl_ERR_REFUSED with the
 * reason in `err`. */
enum sl_errno
SlConfig_CheckAdmission(const struct sl_config *config,
                        const struct sl_request_attributes *attributes,
                        const struct sl_name *version,
                        const struct sl_name *upstream, struct sl_error *err);
/* Returns true if a selector sends requests that are not idempotent to the
 * service: such requests may have an idempotency key, which needs a home. */
bool SlConfig_NeedsHomes(const struct sl_config *config,
                         const struct sl_name *service);
/* Returns the home record of a service, or NULL. */
const struct sl_home *SlConfig_FindHome(const struct sl_config *config,
                                        const struct sl_name *service);
/* Returns the member that is the home of an idempotency key, by rendezvous
 * hashing, or NULL if there are no members. */
const struct sl_name *SlHome_MemberForKey(const struct sl_home *home,
                                          const struct sl_name *key);

/* ---- 4. Snapshots ----------------------------------------------------- */

/* Appends the configuration as a JSON object that SlConfig_Restore() reads.
 * Processes that applied the same records get identical bytes. */
void SlConfig_Snapshot(const struct sl_config *config, struct sl_buf *out);
/* Replaces the configuration by a snapshot with a higher offset. Fails with
 * Sl_ERR_CONFLICT if the snapshot's offset is not higher, and with
 * Sl_ERR_INVALID if the snapshot is malformed or breaks a rule; the
 * configuration is unchanged after any error. */
enum sl_errno SlConfig_Restore(struct sl_config *config,
                               const json_t *snapshot, struct sl_error *err);

#endif
