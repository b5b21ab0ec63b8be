#ifndef COWSLIPLOAD_ARRIVALS_H
#define COWSLIPLOAD_ARRIVALS_H

#include <gsl/gsl_rng.h>

#include "experiment.h"

/* Arrival times of an open-loop load: they do not depend on the responses.  */
struct ld_arrivals;

struct ld_arrivals *ld_arrivals_new (const struct ld_experiment *experiment,
                                     gsl_rng *random, GError **error);
void ld_arrivals_free (struct ld_arrivals *arrivals);
bool ld_arrivals_next (struct ld_arrivals *arrivals, uint64_t *at_us,
                       const struct ld_mix **mix);

#endif
