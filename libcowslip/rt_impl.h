#ifndef COWSLIP_RT_IMPL_H
#define COWSLIP_RT_IMPL_H

#include "rt.h"

/* Internal definitions of the routing module.  */

struct rt_model
{
  char *name;
  struct rt_model *base;           /* model of an adapter; NULL for a model */
  GPtrArray *ranks[RT_RANK_COUNT]; /* struct rt_replica */
  GPtrArray *sorted;               /* all ready replicas, by endpoint hash */
  bool replicas_changed;
};

struct rt_table
{
  struct tm_service *tm;
  gsl_rng *random;
  GHashTable *endpoints;
  GHashTable *models;
  uint64_t fence;
};

void rt_list_add (struct rt_replica *replica);
void rt_list_remove (struct rt_replica *replica);

#endif
