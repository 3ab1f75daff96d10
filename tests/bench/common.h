/* Shared by the benchmarks: samples and their quantiles, tables as text or
 * JSON, random distributions, processor time. */
#ifndef Sl_BENCH_COMMON_H
#define Sl_BENCH_COMMON_H

#include "sl_gossip.h"
#include "sl_policy.h"

/* Values of one quantity. A zeroed sample is empty. */
struct sl_sample {
    GArray *values; /* double; owned; NULL when empty */
};

/* Adds a value. SlSample_Free() frees what this allocates. */
void SlSample_Add(struct sl_sample *sample, double value);
/* Returns the quantile by nearest rank, 0.95 for the 95th percentile; 0 for an
 * empty sample. Sorts the sample. */
double SlSample_Quantile(struct sl_sample *sample, double quantile);
/* Returns the number of values. */
size_t SlSample_Count(const struct sl_sample *sample);
/* Frees the values; the sample is empty afterwards. */
void SlSample_Free(struct sl_sample *sample);

/* Draws from an exponential distribution with this mean. */
double SlBench_Exponential(struct sl_random *random, double mean);
/* Draws from a log-normal distribution with mean 1; `sigma` is the standard
 * deviation of the logarithm. */
double SlBench_LogNormal(struct sl_random *random, double sigma);

/* Reads the command line: with `--json`, tables are printed as JSON. */
void SlBench_Init(int argc, char **argv);
/* Starts a table. `columns` ends in NULL and must stay valid until the table
 * ends; the first column names the rows' labels. */
void SlBench_BeginTable(const char *title, const char *const *columns);
/* Prints a row: its label in the first column, then one number per column. */
void SlBench_Row(const char *label, const double *numbers, size_t count);
/* Ends the table. */
void SlBench_EndTable(void);

/* Returns the processor seconds that this process has used. */
double SlBench_CpuSeconds(void);

/* Returns the bytes that the digest's contents add to an empty one. */
size_t SlBench_DigestBytes(const struct sl_gossip_digest *digest);

#endif
