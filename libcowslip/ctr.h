#ifndef COWSLIP_CTR_H
#define COWSLIP_CTR_H

#include <stdint.h>

#include <glib.h>

#include "rsn.h"

/* Named counters and gauges of a process.  */
struct ctr_set;

struct ctr_set *ctr_new (void);
void ctr_free (struct ctr_set *set);
void ctr_add (struct ctr_set *set, const char *name, uint64_t amount);
void ctr_set_gauge (struct ctr_set *set, const char *name, int64_t value);
uint64_t ctr_get (const struct ctr_set *set, const char *name);
void ctr_count_refusal (struct ctr_set *set, enum rsn_refusal reason);
void ctr_count_retry (struct ctr_set *set, enum rty_reason reason);
void ctr_print (const struct ctr_set *set, GString *out);

#endif
