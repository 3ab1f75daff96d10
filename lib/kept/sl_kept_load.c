/*
 * How much of the load each part makes up, by the tokens of the requests with
 * it. The table is of a fixed size: a part whose place is taken is counted
 * only once the other has become the lesser one.
 */
#include "sl_kept_internal.h"

/* Places in the table. Only parts that make up more than one engine's share of
 * the load matter. */
#define Sl_PART_PLACES 256
/* Time in which a load decays to 1/e. */
#define Sl_LOAD_DECAY_US (5 * Sl_US_PER_S)
/* Requests with a part from which on its share is known. */
#define Sl_MIN_PART_REQUESTS 3.0

struct sl_decaying_load {
    int64_t at_us;
    double tokens;
    double requests;
};

struct sl_part_load {
    struct sl_decaying_load total;
    uint32_t parts[Sl_PART_PLACES];
    struct sl_decaying_load loads[Sl_PART_PLACES];
};

struct sl_part_load *
SlPartLoad_New(void)
{
    return g_new0(struct sl_part_load, 1);
}

void
SlPartLoad_Free(struct sl_part_load *load)
{
    g_free(load);
}

static struct sl_decaying_load
load_at(const struct sl_decaying_load *load, int64_t now_us)
{
    double left =
        exp(-(double)MAX(now_us - load->at_us, 0) / (double)Sl_LOAD_DECAY_US);
    return (struct sl_decaying_load){now_us, load->tokens * left,
                                     load->requests * left};
}

static void
add_to(struct sl_decaying_load *load, int64_t now_us, int64_t tokens)
{
    *load = load_at(load, now_us);
    load->tokens += (double)tokens;
    load->requests += 1;
}

void
SlPartLoad_Add(struct sl_part_load *load, int64_t now_us, uint32_t part,
               int64_t tokens)
{
    size_t place = part % Sl_PART_PLACES;
    add_to(&load->total, now_us, tokens);
    if (load->parts[place] != part) {
        struct sl_decaying_load other = load_at(&load->loads[place], now_us);
        if (other.tokens > (double)tokens) {
            /* It loses as much as the part would gain, so that the one with
             * the greater load stays. */
            other.tokens -= (double)tokens;
            other.requests = MAX(other.requests - 1, 0);
            load->loads[place] = other;
            return;
        }
        load->parts[place] = part;
        load->loads[place] = (struct sl_decaying_load){0};
    }
    add_to(&load->loads[place], now_us, tokens);
}

double
SlPartLoad_Share(const struct sl_part_load *load, int64_t now_us,
                 uint32_t part)
{
    size_t place = part % Sl_PART_PLACES;
    struct sl_decaying_load total = load_at(&load->total, now_us);
    struct sl_decaying_load own = load_at(&load->loads[place], now_us);
    if (load->parts[place] != part || own.requests < Sl_MIN_PART_REQUESTS ||
        total.tokens <= 0) {
        return 0;
    }
    return MIN(own.tokens / total.tokens, 1);
}
