#ifndef COWSLIP_HST_H
#define COWSLIP_HST_H

#include <stdint.h>

#include "ctr.h"

/* Histograms of durations per class, with fixed bucket bounds.  */
struct hst_set;

struct hst_set *hst_new (const char *name);
void hst_free (struct hst_set *set);
void hst_observe (struct hst_set *set, const char *class_name,
                  uint64_t duration_us);
void hst_flush (struct hst_set *set, struct ctr_set *counters);

#endif
