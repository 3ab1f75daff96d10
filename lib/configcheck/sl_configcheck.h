/*
 * sl_configcheck: looks at a version of the operators' configuration before it
 * is sent. Finds entries that can never match and limits that contradict each
 * other, and tells what differs from the version in force.
 *
 * Works on routing tables, which are what routers work on, so that it cannot
 * disagree with them. What cannot be decoded is no routing table: that is an
 * error of the decoder, not a finding.
 *
 * Findings and changes contain no API key, only its fingerprint.
 *
 * Sections, from simple to advanced:
 *   1. Findings  entries without effect, limits that contradict each other
 *   2. Changes   what differs between two versions
 */
#ifndef Sl_CONFIGCHECK_H
#define Sl_CONFIGCHECK_H

#include "sl_routing.h"

enum sl_config_entry {
    Sl_CONFIG_ENTRY_WHOLE, /* the configuration itself */
    Sl_CONFIG_ENTRY_SERVICE,
    Sl_CONFIG_ENTRY_ROUTE,
    Sl_CONFIG_ENTRY_TEAM,
    Sl_CONFIG_ENTRY_LIMITS,
};

/* ---- 1. Findings ------------------------------------------------------ */

/* What is known of the deployment. Rules that need what is not known are left
 * out. */
struct sl_config_site {
    size_t region_count;           /* 0: not known */
    const struct sl_name *regions; /* those in which failure domains lie */
    int64_t memory_bytes;          /* limit of a router's; 0: not known */
    /* Longest deadline that clients send; 0: not known. */
    int64_t client_deadline_us;
};

/* What is wrong with one entry. */
struct sl_config_finding {
    const char *rule; /* stable name, such as "route.unmatchable" */
    enum sl_config_entry entry;
    size_t index;      /* of the entry, as in the table */
    const char *field; /* of the entry, such as "prefix"; or NULL */
    char *text;        /* what was found, and what is allowed */
};

struct sl_config_findings;

/* Returns what is wrong, in the order of the rules and then of the entries;
 * free it with SlConfigFindings_Free(). `site` may be NULL. */
struct sl_config_findings *
SlConfigCheck_Run(const struct sl_routing *routing,
                  const struct sl_config_site *site);
size_t SlConfigFindings_Count(const struct sl_config_findings *findings);
/* Returns the finding at `index`, which is below the count. */
const struct sl_config_finding *
SlConfigFindings_At(const struct sl_config_findings *findings, size_t index);
void SlConfigFindings_Free(struct sl_config_findings *findings);

/* ---- 2. Changes ------------------------------------------------------- */

enum sl_config_change_type {
    Sl_CONFIG_ADDED,
    Sl_CONFIG_REMOVED,
    Sl_CONFIG_CHANGED,
};

/* One entry, or one field of an entry, that differs. */
struct sl_config_change {
    enum sl_config_change_type type;
    enum sl_config_entry entry;
    char *name;        /* of the entry; a route's host and prefix; "" if there
                          is only one */
    const char *field; /* NULL: the whole entry */
    char *old_value;   /* of the field; NULL: none */
    char *new_value;   /* of the field; NULL: none */
    /* What clients see of it; NULL: nothing that the tables tell. */
    char *consequence;
};

struct sl_config_changes;

/* Returns what differs in `newer`; free it with SlConfigChanges_Free(). Routes
 * are the same if host and prefix are, other entries if their names are. */
struct sl_config_changes *SlConfigDiff_Run(const struct sl_routing *older,
                                           const struct sl_routing *newer);
size_t SlConfigChanges_Count(const struct sl_config_changes *changes);
/* Returns the change at `index`, which is below the count. */
const struct sl_config_change *
SlConfigChanges_At(const struct sl_config_changes *changes, size_t index);
void SlConfigChanges_Free(struct sl_config_changes *changes);

/* Bytes of a fingerprint, with the NUL at its end. */
#define Sl_FINGERPRINT_BYTES 9
/* Sets the fingerprint of an API key, which does not tell the key. */
void SlConfig_Fingerprint(struct sl_str key, char *fingerprint);

#endif
