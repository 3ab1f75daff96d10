/* Stable hashes, rendezvous hashing and a seeded random generator. */
#include "sl_common.h"

#include <assert.h>

/* Parameters of 64-bit FNV-1a. */
#define Sl_FNV_OFFSET 0xcbf29ce484222325u
#define Sl_FNV_PRIME 0x100000001b3u
/* Increment and multipliers of the splitmix64 generator (Vigna, 2015). */
#define Sl_SPLITMIX_STEP 0x9e3779b97f4a7c15u
#define Sl_SPLITMIX_MUL1 0xbf58476d1ce4e5b9u
#define Sl_SPLITMIX_MUL2 0x94d049bb133111ebu

uint64_t
SlHash_Mix(uint64_t value)
{
    value = (value ^ (value >> 30)) * Sl_SPLITMIX_MUL1;
    value = (value ^ (value >> 27)) * Sl_SPLITMIX_MUL2;
    return value ^ (value >> 31);
}

uint64_t
SlHash_Bytes(uint64_t seed, struct sl_str bytes)
{
    uint64_t hash = Sl_FNV_OFFSET ^ seed;
    for (size_t i = 0; i < bytes.len; i++) {
        hash ^= (unsigned char)bytes.ptr[i];
        hash *= Sl_FNV_PRIME;
    }
    return SlHash_Mix(hash);
}

uint64_t
SlHash_Rendezvous(struct sl_str key, struct sl_str member)
{
    return SlHash_Bytes(SlHash_Bytes(0, key), member);
}

double
SlHash_Fraction(uint64_t hash)
{
    /* A double has 53 significant bits: the upper 53 of the 64 are used. */
    return (double)(hash >> 11) * 0x1.0p-53;
}

uint64_t
SlRandom_Next(struct sl_random *random)
{
    random->state += Sl_SPLITMIX_STEP;
    return SlHash_Mix(random->state);
}

double
SlRandom_Unit(struct sl_random *random)
{
    return SlHash_Fraction(SlRandom_Next(random));
}

uint32_t
SlRandom_Below(struct sl_random *random, uint32_t bound)
{
    assert(bound > 0);
    return (uint32_t)(SlRandom_Unit(random) * bound);
}
