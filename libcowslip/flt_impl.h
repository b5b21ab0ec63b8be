#ifndef COWSLIP_FLT_IMPL_H
#define COWSLIP_FLT_IMPL_H

#include "flt.h"

/* Shared by the flt*.c files only.  */

#define FLT_US_PER_MS UINT64_C (1000)

struct flt_fleet
{
  struct tm_service *tm;
  GHashTable *by_id;      /* struct flt_endpoint */
  GPtrArray *all;         /* the same, in the order in which they were added */
  GHashTable *loads;      /* service -> double: mean of the reported loads */
  GHashTable *removals;   /* id -> struct flt_removal */
  int64_t list_revision;  /* of the store, at the last full list */
  int64_t era;            /* of the store */
  uint64_t era_began_us;  /* when a later era was noticed */
  GHashTable *signs;      /* struct flt_signs */
  uint64_t pauses_end_us; /* end of the last pause */
};

void flt_entry_clear (struct flt_entry *entry);

/* flt_absent.c */
GArray *flt_absent_new (void);
void flt_drop_absent (struct flt_endpoint *endpoint, const char *model,
                      const char *adapter);
bool flt_is_absent (const struct flt_fleet *fleet,
                    const struct flt_endpoint *endpoint, const char *model,
                    const char *adapter);

/* flt_removed.c */
GHashTable *flt_removals_new (void);
void flt_removal_add (struct flt_fleet *fleet,
                      const struct flt_endpoint *endpoint, int64_t revision);
void flt_removal_forget (struct flt_fleet *fleet, const char *id);
void flt_removal_repeat (struct flt_fleet *fleet, const char *id,
                         int64_t revision);
bool flt_removal_withhold (struct flt_fleet *fleet, struct flt_entry *entry);
bool flt_may_be_older (const struct flt_fleet *fleet,
                       const struct flt_entry *entry, int64_t known_revision);
void flt_removals_list_begin (struct flt_fleet *fleet);
void flt_removals_list_end (struct flt_fleet *fleet);
struct flt_entry *flt_removals_sweep (struct flt_fleet *fleet);

/* flt_signs.c */
void flt_signs_init (struct flt_fleet *fleet);
void flt_signs_clear (struct flt_fleet *fleet);
void flt_apply_signs (const struct flt_fleet *fleet, struct flt_entry *entry);
void flt_restore_pause (const struct flt_fleet *fleet,
                        struct flt_endpoint *endpoint);

#endif
