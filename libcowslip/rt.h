#ifndef COWSLIP_RT_H
#define COWSLIP_RT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "tm.h"

/* Routing: selects one of the ready replicas of a model for each request, by
   load and by prompt prefix.  */
struct rt_table;
struct rt_model;

/* Replicas of a lower rank are selected first; unavailable ones never.  */
enum rt_rank
{
  RT_NORMAL,
  RT_DEGRADED, /* stragglers occupy at least half of the batch */
  RT_EJECTED,
  RT_UNAVAILABLE, /* leaving, or batch full */
  RT_RANK_COUNT
};

struct rt_endpoint
{
  char *address;
  uint64_t hash;
  uint32_t batch; /* 0: no limit */
  uint32_t in_flight;
  uint32_t stragglers;
  uint32_t reported_load; /* running and waiting requests in the last report */
  uint64_t reported_us;   /* time of the engine's measurement */
  bool leaving;
  bool ejected;
  bool configured;     /* in the current configuration */
  GPtrArray *replicas; /* struct rt_replica */
};

struct rt_replica
{
  struct rt_endpoint *endpoint;
  struct rt_model *model;
  uint32_t in_flight;
  bool ready;
  bool in_view; /* contained in the view being applied */
  bool quiesced;
  uint64_t quiesced_fence; /* a view with a higher fence ends the quiescence */
  enum rt_rank rank;
  guint index; /* in the list of its rank */
};

/* Criteria for the replica of one request.  */
struct rt_criteria
{
  uint64_t prefix; /* hash of the prompt's prefix; 0: no preference */
  const struct rt_endpoint *const *tried;
  uint32_t tried_count;
  bool only_untried; /* never return a tried endpoint */
  /* Return whether the endpoint may run this request; NULL: all may.  */
  bool (*allowed) (void *arg, const struct rt_endpoint *endpoint);
  void *arg;
};

struct rt_table *rt_new (struct tm_service *tm, gsl_rng *random);
void rt_free (struct rt_table *table);
struct rt_endpoint *rt_endpoint (struct rt_table *table, const char *address);
struct rt_endpoint *rt_find_endpoint (const struct rt_table *table,
                                      const char *address);
GHashTable *rt_endpoints (const struct rt_table *table);
void rt_set_batch (struct rt_table *table, struct rt_endpoint *endpoint,
                   uint32_t batch);
void rt_set_leaving (struct rt_table *table, struct rt_endpoint *endpoint,
                     bool leaving);
void rt_set_ejected (struct rt_table *table, struct rt_endpoint *endpoint,
                     bool ejected);
void rt_report_load (struct rt_table *table, struct rt_endpoint *endpoint,
                     uint32_t running, uint32_t waiting, uint32_t age_ms);
void rt_view_begin (struct rt_table *table, uint64_t fence);
void rt_view_ready (struct rt_table *table, const char *model,
                    const char *address);
void rt_view_end (struct rt_table *table);
void rt_set_base (struct rt_table *table, const char *adapter,
                  const char *model);
uint32_t rt_quiesce (struct rt_table *table, const char *model,
                     const char *address);
struct rt_replica *rt_pick (struct rt_table *table, const char *model,
                            const struct rt_criteria *criteria);
void rt_begin_request (struct rt_table *table, struct rt_replica *replica);
void rt_end_request (struct rt_table *table, struct rt_replica *replica);
void rt_count_straggler (struct rt_table *table, struct rt_replica *replica,
                         bool straggles);
double rt_score (const struct rt_table *table,
                 const struct rt_endpoint *endpoint);
const char *rt_model_name (const struct rt_model *model);

#endif
