#include <time.h>

#include <glib.h>

#include "lg.h"
#include "tm_uv.h"

#define TM_UV_US_PER_MS 1000
#define TM_UV_US_PER_S  UINT64_C (1000000)
/* Timers are later than this only if this process did not run, or a callback
   took long.  */
#define TM_UV_STALL_US 10000
/* A longer delay is logged: callers notice it.  */
#define TM_UV_LOGGED_US 300000

/* CLOCK_BOOTTIME includes the time for which the machine was suspended.  A
   lease keeps expiring at the store meanwhile, so its holder must count that
   time too.  */
static uint64_t
tm_uv_clock_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t)now.tv_sec * TM_UV_US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

/* Return by how much the first timer is late, in microseconds.  */
static uint64_t
tm_uv_late_us (const struct tm_uv *driver)
{
  uint64_t due_us = tm_next_due_us (driver->service);
  uint64_t now_us = tm_uv_clock_us ();

  return due_us < now_us ? now_us - due_us : 0;
}

static void
tm_uv_fired (uv_timer_t *timer)
{
  struct tm_uv *driver = timer->data;

  if (tm_uv_late_us (driver) <= TM_UV_STALL_US)
    tm_uv_refresh (driver);
}

/* Set the wake-up for the next timer before the loop blocks, at once if DRIVER
   has FIRED timers, whose callbacks may have ended what the loop runs for.  */
static void
tm_uv_set_wake_up (struct tm_uv *driver, bool fired)
{
  uint64_t due_us = fired ? 0 : tm_next_due_us (driver->service);
  uint64_t now_us = tm_now_us (driver->service);

  if (due_us == UINT64_MAX)
    {
      uv_timer_stop (&driver->timer);
      return;
    }
  uv_update_time (driver->timer.loop);
  uv_timer_start (&driver->timer, tm_uv_fired,
                  due_us <= now_us ? 0
                                   : (due_us - now_us + TM_UV_US_PER_MS - 1)
                                         / TM_UV_US_PER_MS,
                  0);
}

/* Fire the timers that became due while callbacks ran.  After a stall the
   sockets are read first, without blocking: what has arrived in time must not
   expire because this process did not run.  */
static void
tm_uv_prepare (uv_prepare_t *prepare)
{
  struct tm_uv *driver = prepare->data;
  uint64_t late_us = tm_uv_late_us (driver);
  bool due = tm_next_due_us (driver->service) <= tm_uv_clock_us ();

  driver->stalled = late_us > TM_UV_STALL_US;
  if (late_us > TM_UV_LOGGED_US)
    lg_write (LG_HELD_UP, "late_ms=%" G_GUINT64_FORMAT,
              late_us / TM_UV_US_PER_MS);
  if (!driver->stalled)
    tm_uv_refresh (driver);
  tm_uv_set_wake_up (driver, due);
}

static void
tm_uv_polled (uv_check_t *check)
{
  struct tm_uv *driver = check->data;

  if (driver->stalled)
    tm_uv_refresh (driver);
}

/* Create a timer service for DRIVER and run it from LOOP.  Times are those of
   CLOCK_BOOTTIME.  */
void
tm_uv_start (struct tm_uv *driver, uv_loop_t *loop)
{
  driver->service = tm_new_clock (tm_uv_clock_us);
  uv_timer_init (loop, &driver->timer);
  driver->timer.data = driver;
  uv_prepare_init (loop, &driver->before_poll);
  driver->before_poll.data = driver;
  uv_prepare_start (&driver->before_poll, tm_uv_prepare);
  uv_check_init (loop, &driver->after_poll);
  driver->after_poll.data = driver;
  uv_check_start (&driver->after_poll, tm_uv_polled);
}

/* Update the service's time from the clock and fire the timers that are
   due.  */
void
tm_uv_refresh (struct tm_uv *driver)
{
  tm_advance (driver->service, tm_uv_clock_us ());
}

/* Stop DRIVER.  Its handles close in the next iteration of the loop.  */
void
tm_uv_stop (struct tm_uv *driver)
{
  uv_close ((uv_handle_t *)&driver->timer, NULL);
  uv_close ((uv_handle_t *)&driver->before_poll, NULL);
  uv_close ((uv_handle_t *)&driver->after_poll, NULL);
  tm_free (driver->service);
  driver->service = NULL;
}
