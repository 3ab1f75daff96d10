/*
 * sl_config: the fold of the configuration stream, and what it means.
 *
 * Operators publish records to one stream of the platform's log. Every
 * process folds the same records in the order of their offsets and comes to
 * the same configuration. A record is a JSON object
 *
 *     {"key": "selector/verses", "id": "unique text", "by": "operator",
 *      "base": REVISION, "value": {...} or null}
 *
 * `base` is the revision of that key which the writer saw, 0 when it has
 * none; a revision is the offset of the record that last changed the key. A
 * record whose base is stale, whose value breaks a rule, or which would leave
 * another key referring to a label that does not fit, is rejected by every
 * process alike and changes nothing.
 *
 * Keys: `label/NAME`, `selector/NAME`, `mark/version/NAME`,
 * `mark/upstream/NAME`, `mark/domain/NAME`, `home/SERVICE`.
 *
 * Sections, from simple to advanced:
 *   1. Parts      labels, selectors, homes
 *   2. Fold       create, apply records, revisions
 *   3. Questions  what a request may use
 *   4. Snapshots  the same bytes at the same offset on every process
 *
 * Pointers that a question returns stay valid until the next
 * SlConfig_Apply() or SlConfig_Restore().
 */
#ifndef Sl_CONFIG_H
#define Sl_CONFIG_H

#include "sl_common.h"

#define Sl_MAX_TEAMS 64
#define Sl_MAX_KINDS 16
#define Sl_MAX_CASCADE_STEPS 8
#define Sl_MAX_HOME_MEMBERS 128
#define Sl_MAX_UPSTREAM_VERSIONS 32
/* Longest key: "mark/upstream/" and a name. */
#define Sl_KEY_MAX_BYTES (Sl_NAME_MAX_BYTES + 14)

/* ---- 1. Parts --------------------------------------------------------- */

enum sl_service_type {
    Sl_SERVICE_ENGINE, /* model engine, runs versions */
    Sl_SERVICE_PLAIN,  /* plain service, has none */
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
    int64_t cost_micros; /* of one request, in millionths of the currency */
    double quality;      /* share of good answers expected before any rating */
    bool out;            /* marked out of service */
};

/* Label {"type": "upstream", "service", "domain", "limit", "cold_limit",
 * "fencing", "versions"}. */
struct sl_upstream {
    struct sl_name name;
    struct sl_name service;
    struct sl_name domain;
    int64_t limit;      /* requests at a time when warm */
    int64_t cold_limit; /* requests at a time when cold */
    bool fencing;       /* refuses orders with an old fencing number */
    size_t version_count;
    struct sl_name versions[Sl_MAX_UPSTREAM_VERSIONS]; /* none: all */
    bool out; /* marked out of service; see also its domain's mark */
};

/* Priority of a kind; lower numbers go first. */
#define Sl_PRIORITY_MAX 9

/* Which teams, sessions and kinds may reach which targets. */
struct sl_selector {
    struct sl_name name;
    int64_t rank; /* the lowest rank that matches wins, then the name */
    size_t team_count;
    struct sl_name teams[Sl_MAX_TEAMS]; /* none: all teams */
    size_t kind_count;
    struct sl_name kinds[Sl_MAX_KINDS]; /* none: all kinds */
    struct sl_name session_prefix;
    struct sl_name service;
    size_t cascade_count;
    struct sl_name cascade[Sl_MAX_CASCADE_STEPS]; /* versions, cheap to dear */
    struct sl_name canary; /* a version under roll-out, or empty */
    double canary_share;   /* share of new sessions that start on it */
    double quality;        /* target share of good answers */
    bool idempotent;
    bool may_wait;
    int64_t priority;
    int64_t deadline_ms; /* when the caller gives none */
};

/* Members among which a key's home is chosen; see sl_core. */
struct sl_home {
    struct sl_name service;
    uint64_t revision; /* offset of the record; 0 when there is none */
    size_t member_count;
    struct sl_name members[Sl_MAX_HOME_MEMBERS]; /* upstreams */
    /* The members of the record that this one replaced. */
    size_t previous_count;
    struct sl_name previous[Sl_MAX_HOME_MEMBERS];
};

/* ---- 2. Fold ---------------------------------------------------------- */

struct sl_config;

struct sl_config *SlConfig_New(void);
void SlConfig_Free(struct sl_config *config);

enum sl_apply_result {
    Sl_APPLY_ACCEPTED,
    Sl_APPLY_STALE, /* another writer came first: `base` is not current */
    Sl_APPLY_INVALID,
    Sl_APPLY_DUPLICATE, /* a record with this id was folded before */
};

/* "accepted", "stale", "invalid" or "repeated". */
const char *SlApplyResult_Name(enum sl_apply_result verdict);

/* Folds the record at `offset`, which must be the next one. Total: any JSON
 * value gives a verdict, and the offset advances. `err` gives the reason for
 * a rejection and may be NULL. */
enum sl_apply_result SlConfig_Apply(struct sl_config *config, uint64_t offset,
                                    const json_t *record,
                                    struct sl_error *err);
/* Would `value` under `key` be valid now? Changes nothing. */
enum sl_errno SlConfig_Check(const struct sl_config *config, const char *key,
                             const json_t *value, struct sl_error *err);
/* Offset of the last record folded; 0 when none was. */
uint64_t SlConfig_Offset(const struct sl_config *config);
/* Revision of a key; 0 when it has no value. */
uint64_t SlConfig_Revision(const struct sl_config *config, const char *key);
/* Value of a key, borrowed, or NULL. */
const json_t *SlConfig_Value(const struct sl_config *config, const char *key);
/* Keys that have a value, in order; free with g_strfreev(). */
char **SlConfig_Keys(const struct sl_config *config);

/* ---- 3. Questions ----------------------------------------------------- */

/* What of a request decides its selector. */
struct sl_request_attributes {
    struct sl_name team;
    struct sl_name session;
    struct sl_name kind;
};

/* The selector that applies, or NULL. */
const struct sl_selector *
SlConfig_FindSelector(const struct sl_config *config,
                      const struct sl_request_attributes *attributes);
const struct sl_service *SlConfig_FindService(const struct sl_config *config,
                                              const struct sl_name *name);
const struct sl_version *SlConfig_FindVersion(const struct sl_config *config,
                                              const struct sl_name *name);
const struct sl_upstream *SlConfig_FindUpstream(const struct sl_config *config,
                                                const struct sl_name *name);
/* True when neither the upstream nor its failure domain is marked out. */
bool SlConfig_UpstreamInService(const struct sl_config *config,
                                const struct sl_name *name);
bool SlConfig_DomainInService(const struct sl_config *config,
                              const struct sl_name *domain);
/* Visits the upstreams of a service in order of name. Returns how many were
 * written to `out`, at most `max`. */
size_t SlConfig_ListUpstreams(const struct sl_config *config,
                              const struct sl_name *service,
                              const struct sl_upstream **out, size_t max);
/* The versions of a service in order of name; as above. */
size_t SlConfig_ListVersions(const struct sl_config *config,
                             const struct sl_name *service,
                             const struct sl_version **out, size_t max);
/* The versions of all services in order of name; as above. */
size_t SlConfig_ListAllVersions(const struct sl_config *config,
                                const struct sl_version **out, size_t max);
/* True when the upstream's label lists `version`, or lists none. */
bool SlUpstream_Serves(const struct sl_upstream *upstream,
                       const struct sl_name *version);
/* True when the selector names `version` as cascade step or canary. */
bool SlSelector_Allows(const struct sl_selector *selector,
                       const struct sl_name *version);
/* May a request with these attributes run `version` (empty for a plain
 * service) on `upstream` now? On refusal `err` names the thing that forbids
 * it. */
enum sl_errno SlConfig_Admit(const struct sl_config *config,
                             const struct sl_request_attributes *attributes,
                             const struct sl_name *version,
                             const struct sl_name *upstream,
                             struct sl_error *err);
/* True when a selector sends requests that are not idempotent to the
 * service, so that their keys need homes. */
bool SlConfig_NeedsHomes(const struct sl_config *config,
                         const struct sl_name *service);
/* The home record of a service, or NULL. */
const struct sl_home *SlConfig_FindHome(const struct sl_config *config,
                                        const struct sl_name *service);
/* The member that is home to `key`; NULL when there are no members. */
const struct sl_name *SlHome_MemberForKey(const struct sl_home *home,
                                          const struct sl_name *key);

/* ---- 4. Snapshots ----------------------------------------------------- */

/* Appends a JSON object that SlConfig_Restore() reads. Equal states give
 * equal bytes. */
void SlConfig_Snapshot(const struct sl_config *config, struct sl_buf *out);
/* Takes a snapshot when it is newer than the present state; an older one
 * gives Sl_ERR_CONFLICT and changes nothing. */
enum sl_errno SlConfig_Restore(struct sl_config *config,
                               const json_t *snapshot, struct sl_error *err);

#endif
