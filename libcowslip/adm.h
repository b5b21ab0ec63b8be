#ifndef COWSLIP_ADM_H
#define COWSLIP_ADM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "rsn.h"
#include "tm.h"

/* Admission: requests that wait for a replica of their model, served by class
   priority and then by deadline.  */
struct adm_queues;
struct adm_queue;

/* One request, embedded in its owner and zeroed at first.  The owner sets the
   first five members.  */
struct adm_entry
{
  const char *model;
  const char *class_name;
  int32_t priority;
  uint64_t deadline_us;
  bool suspect;
  struct adm_queues *queues;
  struct adm_queue *queue; /* NULL: not waiting */
  uint64_t arrived_us;
  uint64_t latest_us; /* a later start would end after the deadline */
  uint64_t order;
  GSequenceIter *place;
  GSequenceIter *late_place;
  GSequenceIter *global_place;
  struct tm_timer timer;
};

enum adm_start
{
  ADM_STARTED,
  ADM_NO_CAPACITY,
  ADM_SUSPECT_WAITS, /* no endpoint without a suspect */
  ADM_GONE           /* refused by its owner */
};

/* What the zone's view promises for a model without a ready replica.  */
enum adm_outlook
{
  ADM_UNKNOWN, /* may become ready */
  ADM_READY,
  ADM_EXPECTED, /* ready at a known time at the earliest */
  ADM_BLOCKED,  /* no load can be ordered now */
  ADM_NONE      /* no replica in this zone */
};

struct adm_actions
{
  enum adm_start (*start) (void *arg, struct adm_entry *entry);
  /* ENTRY no longer waits.  */
  void (*refuse) (void *arg, struct adm_entry *entry, enum rsn_refusal reason);
};

/* Demand for one model.  */
struct adm_demand
{
  const char *model;
  uint32_t waiting;
  uint64_t earliest_us; /* earliest deadline, UINT64_MAX if none waits */
  int32_t priority;     /* highest waiting */
  uint32_t arrivals;    /* since the last adm_demands */
};

struct adm_queues *adm_new (struct tm_service *tm,
                            const struct adm_actions *actions, void *arg);
void adm_free (struct adm_queues *queues);
void adm_set_limit (struct adm_queues *queues, uint32_t waiting_max);
void adm_set_outlook (struct adm_queues *queues, const char *model,
                      enum adm_outlook outlook, uint64_t ready_us);
void adm_arrived (struct adm_queues *queues, const char *model);
void adm_submit (struct adm_queues *queues, struct adm_entry *entry);
void adm_remove (struct adm_queues *queues, struct adm_entry *entry);
void adm_wake (struct adm_queues *queues, const char *const *models,
               uint32_t count);
void adm_wake_all (struct adm_queues *queues);
void adm_served (struct adm_queues *queues, const char *class_name,
                 uint64_t duration_us);
uint32_t adm_waiting (const struct adm_queues *queues);
uint32_t adm_waiting_for (const struct adm_queues *queues, const char *model);
void adm_each_waiting (const struct adm_queues *queues,
                       void (*each) (void *arg, const char *model,
                                     uint32_t waiting),
                       void *arg);
void adm_demands (struct adm_queues *queues,
                  void (*each) (void *arg, const struct adm_demand *demand),
                  void *arg);

#endif
