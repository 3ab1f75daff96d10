/*
 * The fan-out tree of a failure domain, down which its routers forward updates
 * of the store. The routers are numbered by their rank in the domain, from 0.
 * Rank 0, the domain leader, is the root. Each router announces updates to its
 * children, which then pull the records from it; they follow in the order of
 * ranks, as in the array of a heap. In a large domain the leader alone could
 * not serve all routers: ten changes a second in a domain of a hundred routers
 * are more than the link of a small VM carries.
 */
#include "sl_router_internal.h"

/* Most children of a router. */
#define Sl_FANOUT_CHILDREN 3
/* A domain with no more peers than this uses no tree: updates are announced to
 * all its routers directly, which takes the shortest time. */
#define Sl_MAX_FLAT_PEERS 12

/* Returns the rank of the parent of the router with that rank, which is not 0.
 */
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
    size_t first_rank =
        SlPeers_FleetPosition(router)->rank_in_domain * Sl_FANOUT_CHILDREN + 1;
    GPtrArray *peers = SlPeers_ByDomainRank(router);
    /* The array does not hold this router, so the index of a router after it
     * is its rank less one. */
    for (size_t rank = first_rank;
         rank < first_rank + Sl_FANOUT_CHILDREN && rank - 1 < peers->len;
         rank++) {
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
