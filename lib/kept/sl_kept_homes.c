/* Homes of a part: the engines with the largest weights by rendezvous hashing
 * in each failure domain. When engines come and go, only the parts move whose
 * home that concerns. */
#include "sl_kept_internal.h"

/* Bits of a half of a 64-bit weight's seed. */
#define Sl_KEY_BITS 32

static uint64_t
weight_of(uint32_t part, const struct sl_kept_engine *engine)
{
    return SlHash_Mix(((uint64_t)part << Sl_KEY_BITS) | engine->id);
}

static struct sl_kept_domain *
domain_of(struct sl_kept_homes *homes, uint32_t domain)
{
    for (size_t i = 0; i < homes->domain_count; i++) {
        if (homes->domains[i].domain == domain) {
            return &homes->domains[i];
        }
    }
    return NULL;
}

void
SlKeptHomes_Add(struct sl_kept_homes *homes, uint32_t domain,
                const struct sl_kept_engine *engine)
{
    struct sl_kept_domain *in = domain_of(homes, domain);
    uint64_t weight = weight_of(homes->part, engine);
    if (in == NULL) {
        if (homes->domain_count == Sl_KEPT_MAX_DOMAINS) {
            return;
        }
        in = &homes->domains[homes->domain_count++];
        *in = (struct sl_kept_domain){.domain = domain};
    }
    in->engines++;
    for (size_t i = 0; i < Sl_KEPT_MAX_HOMES; i++) {
        if (weight > in->weights[i]) {
            uint64_t lesser = in->weights[i];
            in->weights[i] = weight;
            weight = lesser;
        }
    }
}

void
SlKeptHomes_Choose(struct sl_kept_homes *homes, const struct sl_kept *kept,
                   int64_t now_us)
{
    for (size_t i = 0; i < homes->domain_count; i++) {
        struct sl_kept_domain *domain = &homes->domains[i];
        domain->home_count =
            SlKept_Homes(kept, now_us, homes->part, domain->engines);
    }
}

bool
SlKeptHomes_Has(const struct sl_kept_homes *homes, uint32_t domain,
                const struct sl_kept_engine *engine)
{
    uint64_t weight = weight_of(homes->part, engine);
    for (size_t i = 0; i < homes->domain_count; i++) {
        const struct sl_kept_domain *in = &homes->domains[i];
        if (in->domain == domain) {
            return in->home_count > 0 &&
                   weight >= in->weights[in->home_count - 1];
        }
    }
    return false;
}
