#ifndef COWSLIP_ADM_H
#define COWSLIP_ADM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "rsn.h"
#include "tm.h"

/* Admission control: queues requests until a replica of their model has
   capacity, ordered by class priority and then by deadline.  */
struct adm_queues;
struct adm_queue;

/* One queued request, embedded in its owner and initialized to zero.  The
   owner sets the first five members.  */
struct adm_entry
{
  const char *model;
  const char *class_name;
  int32_t priority;
  uint64_t deadline_us;
  bool suspect;
  struct adm_queues *queues;
  struct adm_queue *queue; /* NULL: not queued */
  uint64_t arrived_us;
  uint64_t latest_start_us; /* a later start would miss the deadline */
  uint64_t arrival_number;
  GSequenceIter *lane_iter;
  GSequenceIter *latest_start_iter;
  GSequenceIter *eviction_iter;
  struct tm_timer timer;
};

enum adm_start
{
  ADM_STARTED,
  ADM_NO_CAPACITY,
  ADM_SUSPECT_BLOCKED, /* no endpoint free of suspects has capacity */
  ADM_REFUSED          /* refused by the owner and no longer queued */
};

/* Availability of a model according to the controller's view of the zone.  */
enum adm_availability
{
  ADM_UNKNOWN, /* may become ready at an unknown time */
  ADM_READY,
  ADM_EXPECTED, /* not ready before a known time */
  ADM_BLOCKED,  /* the controller cannot order a load now */
  ADM_NONE      /* no replica in this zone */
};

struct adm_actions
{
  enum adm_start (*start) (void *arg, struct adm_entry *entry);
  /* ENTRY has been removed from its queue.  */
  void (*refuse) (void *arg, struct adm_entry *entry, enum rsn_refusal reason);
};

/* Demand for one model or adapter.  */
struct adm_demand
{
  const char *model;
  uint32_t waiting;
  uint64_t earliest_us; /* earliest deadline, UINT64_MAX if none is queued */
  int32_t priority;     /* highest in the queue */
  uint32_t arrivals;    /* since the last call of adm_collect_demands */
};

struct adm_queues *adm_new (struct tm_service *tm,
                            const struct adm_actions *actions, void *arg);
void adm_free (struct adm_queues *queues);
void adm_set_limit (struct adm_queues *queues, uint32_t waiting_max);
void adm_set_availability (struct adm_queues *queues, const char *model,
                           enum adm_availability availability,
                           uint64_t ready_us);
void adm_count_arrival (struct adm_queues *queues, const char *model);
void adm_submit (struct adm_queues *queues, struct adm_entry *entry);
void adm_remove (struct adm_queues *queues, struct adm_entry *entry);
void adm_wake (struct adm_queues *queues, const char *const *models,
               uint32_t count);
void adm_wake_all (struct adm_queues *queues);
void adm_record_duration (struct adm_queues *queues, const char *class_name,
                          uint64_t duration_us);
uint32_t adm_waiting (const struct adm_queues *queues);
uint32_t adm_waiting_for (const struct adm_queues *queues, const char *model);
void adm_foreach_waiting (const struct adm_queues *queues,
                          void (*each) (void *arg, const char *model,
                                        uint32_t waiting),
                          void *arg);
void adm_collect_demands (struct adm_queues *queues,
                          void (*each) (void *arg,
                                        const struct adm_demand *demand),
                          void *arg);

#endif
