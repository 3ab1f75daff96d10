/* Offsets of records in the store: the era and the number. */
#include "sl_router.h"

/* Bits of the number: enough for 34 years of 1,000 records a second. */
#define Sl_NUMBER_BITS 40

uint64_t
SlOffset_Of(uint64_t era, uint64_t number)
{
    return era << Sl_NUMBER_BITS | number;
}

uint64_t
SlOffset_Era(uint64_t offset)
{
    return offset >> Sl_NUMBER_BITS;
}

uint64_t
SlOffset_Number(uint64_t offset)
{
    return offset & (((uint64_t)1 << Sl_NUMBER_BITS) - 1);
}
