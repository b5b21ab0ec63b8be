#ifndef COWSLIP_ADM_IMPL_H
#define COWSLIP_ADM_IMPL_H

#include "adm.h"

/* Internal definitions of the admission module.  */

enum
{
  ADM_LANE_NORMAL,
  ADM_LANE_SUSPECT,
  ADM_LANES
};

struct adm_queue
{
  char *model;
  GSequence *lanes[ADM_LANES];
  GSequence *expiring; /* normal lane by latest start */
  uint32_t arrivals;
  enum adm_availability availability;
  uint64_t ready_us;
};

struct adm_queues
{
  struct tm_service *tm;
  struct adm_actions actions;
  void *arg;
  GHashTable *by_model;
  GHashTable *durations; /* class name to its average duration in microseconds,
                            double */
  GSequence *by_eviction;
  uint32_t waiting_max;
  uint64_t next_arrival_number;
  uint32_t start_count; /* queued requests that were started */
};

struct adm_entry *adm_first (GSequence *sequence);
void adm_insert (struct adm_queues *queues, struct adm_queue *queue,
                 struct adm_entry *entry);
void adm_unlink (struct adm_entry *entry);

#endif
