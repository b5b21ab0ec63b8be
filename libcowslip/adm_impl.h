#ifndef COWSLIP_ADM_IMPL_H
#define COWSLIP_ADM_IMPL_H

#include "adm.h"

/* Shared by the adm_*.c files only.  */

enum
{
  ADM_LANE_FREE,
  ADM_LANE_SUSPECT,
  ADM_LANES
};

struct adm_queue
{
  char *model;
  GSequence *lanes[ADM_LANES];
  GSequence *late; /* the free lane by latest start */
  uint32_t arrivals;
  enum adm_outlook outlook;
  uint64_t ready_us;
};

struct adm_queues
{
  struct tm_service *tm;
  struct adm_actions actions;
  void *arg;
  GHashTable *by_model;
  GHashTable *served; /* class name to its average duration, double */
  GSequence *all;
  uint32_t waiting_max;
  uint64_t next_order;
  uint32_t turn; /* starts of waiting requests */
};

struct adm_entry *adm_first (GSequence *sequence);
void adm_insert (struct adm_queues *queues, struct adm_queue *queue,
                 struct adm_entry *entry);
void adm_unlink (struct adm_entry *entry);

#endif
