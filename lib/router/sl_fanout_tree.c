/*
 * The fan-out tree of a failure domain, down which its routers forward updates
 * of the store. The routers are ordered by their rank in the domain; the
 * domain leader is the root, and each router sends its digests of updates to a
 * few routers of higher rank, which then pull the records from it. In a large
 * domain the leader alone could not serve all of them: ten changes a second in
 * a domain of a hundred routers are more than the link of a small VM carries.
 */
#include "sl_router_internal.h"

/* Children of each router of the tree. */
#define Sl_FANOUT_CHILDREN 3
/* In a domain with no more peers than this, updates are sent to all routers
 * directly, which is the shortest way. */
#define Sl_MAX_FLAT_PEERS 12

static size_t
parent_of(size_t rank)
{
    return (rank - 1) / Sl_FANOUT_CHILDREN;
}

size_t
SlFanoutTree_Depth(struct sl_router *router)
{
    size_t depth = 0;
    for (size_t rank = SlPeers_FleetPosition(router)->rank_in_domain; rank > 0;
         rank = parent_of(rank)) {
        depth++;
    }
    return depth;
}

bool
SlFanoutTree_IsParent(struct sl_router *router, const struct sl_name *vm)
{
    size_t rank = SlPeers_FleetPosition(router)->rank_in_domain;
    return rank > 0 && SlPeers_DomainRank(router, vm) == parent_of(rank);
}

bool
SlFanoutTree_IsUsed(const struct sl_router *router)
{
    return SlPeers_CountDomain(router, &router->options.domain) >
           Sl_MAX_FLAT_PEERS;
}

void
SlFanoutTree_AddChildren(struct sl_router *router, GPtrArray *recipients)
{
    size_t first =
        SlPeers_FleetPosition(router)->rank_in_domain * Sl_FANOUT_CHILDREN + 1;
    GPtrArray *peers = SlPeers_ByDomainRank(router);
    /* The array does not hold this router, so routers of higher rank stand one
     * place further ahead. */
    for (size_t rank = first;
         rank < first + Sl_FANOUT_CHILDREN && rank - 1 < peers->len; rank++) {
        struct sl_router_peer *child = g_ptr_array_index(peers, rank - 1);
        g_ptr_array_add(recipients, &child->address);
    }
    g_ptr_array_free(peers, TRUE);
}

void
SlFanoutTree_AddLeader(struct sl_router *router, GPtrArray *recipients)
{
    GPtrArray *peers = SlPeers_ByDomainRank(router);
    if (SlPeers_FleetPosition(router)->rank_in_domain > 0 && peers->len > 0) {
        struct sl_router_peer *leader = g_ptr_array_index(peers, 0);
        g_ptr_array_add(recipients, &leader->address);
    }
    g_ptr_array_free(peers, TRUE);
}
