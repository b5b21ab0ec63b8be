#ifndef COWSLIP_FLT_IMPL_H
#define COWSLIP_FLT_IMPL_H

#include "flt.h"

/* Shared by the flt*.c files only.  */

#define FLT_US_PER_MS UINT64_C (1000)

struct flt_fleet
{
  struct tm_service *tm;
  GHashTable *by_id; /* struct flt_endpoint */
  GPtrArray *all;    /* the same, in the order in which they were added */
  GHashTable *loads; /* service -> double: mean of the reported loads */
};

void flt_entry_clear (struct flt_entry *entry);

#endif
