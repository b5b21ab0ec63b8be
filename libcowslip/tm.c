#include <glib.h>

#include "tm.h"

struct tm_service
{
  uint64_t now_us;
  uint64_t (*clock_us) (void);
  uint64_t next_order;
  GSequence *timers;
};

static gint
tm_compare (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct tm_timer *x = a;
  const struct tm_timer *y = b;

  (void)unused;
  if (x->due_us != y->due_us)
    return x->due_us < y->due_us ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

/* Return a timer service whose time is START_US microseconds.  */
struct tm_service *
tm_new (uint64_t start_us)
{
  struct tm_service *service = g_new0 (struct tm_service, 1);

  service->now_us = start_us;
  service->timers = g_sequence_new (NULL);
  return service;
}

/* Return a timer service that reads its time from CLOCK_US, a monotonic clock
   in microseconds.  I/O callbacks may run long after the last timer expired,
   when a time updated only by tm_advance would be stale.  */
struct tm_service *
tm_new_clock (uint64_t (*clock_us) (void))
{
  struct tm_service *service = tm_new (clock_us ());

  service->clock_us = clock_us;
  return service;
}

/* Free SERVICE.  Pending timers never expire.  */
void
tm_free (struct tm_service *service)
{
  if (service == NULL)
    return;
  g_sequence_free (service->timers);
  g_free (service);
}

/* Return the current monotonic time in microseconds.  */
uint64_t
tm_now_us (const struct tm_service *service)
{
  return service->clock_us != NULL ? service->clock_us () : service->now_us;
}

/* Call FIRE with ARG once after DELAY_US microseconds.  A pending TIMER is
   rescheduled.  Timers due at the same time fire in the order in which they
   were set.  */
void
tm_after (struct tm_service *service, struct tm_timer *timer,
          uint64_t delay_us, void (*fire) (void *arg), void *arg)
{
  tm_cancel (service, timer);
  timer->due_us = tm_now_us (service) + delay_us;
  timer->order = service->next_order++;
  timer->fire = fire;
  timer->arg = arg;
  timer->node
      = g_sequence_insert_sorted (service->timers, timer, tm_compare, NULL);
}

/* Cancel TIMER if it is pending.  */
void
tm_cancel (struct tm_service *service, struct tm_timer *timer)
{
  (void)service;
  if (timer->node == NULL)
    return;
  g_sequence_remove (timer->node);
  timer->node = NULL;
}

bool
tm_pending (const struct tm_timer *timer)
{
  return timer->node != NULL;
}

/* Advance the time to NOW_US and fire the timers that are due, in order.
   Without a clock, the time seen by each timer is its due time.  A NOW_US in
   the past has no effect.  */
void
tm_advance (struct tm_service *service, uint64_t now_us)
{
  while (!g_sequence_is_empty (service->timers))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (service->timers);
      struct tm_timer *timer = g_sequence_get (first);

      if (timer->due_us > now_us)
        break;
      if (timer->due_us > service->now_us)
        service->now_us = timer->due_us;
      tm_cancel (service, timer);
      timer->fire (timer->arg);
    }
  if (now_us > service->now_us)
    service->now_us = now_us;
}

/* Return when the next timer is due, in microseconds, or UINT64_MAX if none
   is pending.  */
uint64_t
tm_next_due_us (const struct tm_service *service)
{
  const struct tm_timer *timer;

  if (g_sequence_is_empty (service->timers))
    return UINT64_MAX;
  timer = g_sequence_get (g_sequence_get_begin_iter (service->timers));
  return timer->due_us;
}
