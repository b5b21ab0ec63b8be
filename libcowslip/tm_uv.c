#include <time.h>

#include "tm_uv.h"

#define TM_UV_US_PER_MS 1000
#define TM_UV_US_PER_S  UINT64_C (1000000)

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

static void
tm_uv_fired (uv_timer_t *timer)
{
  tm_uv_refresh (timer->data);
}

/* Callbacks may have taken long: fire the timers that became due and set the
   wake-up for the next one before the loop blocks.  */
static void
tm_uv_prepare (uv_prepare_t *prepare)
{
  struct tm_uv *driver = prepare->data;
  uint64_t due_us;
  uint64_t now_us;

  tm_uv_refresh (driver);
  due_us = tm_next_due_us (driver->service);
  if (due_us == UINT64_MAX)
    {
      uv_timer_stop (&driver->timer);
      return;
    }
  now_us = tm_now_us (driver->service);
  uv_update_time (driver->timer.loop);
  uv_timer_start (&driver->timer, tm_uv_fired,
                  due_us <= now_us ? 0
                                   : (due_us - now_us + TM_UV_US_PER_MS - 1)
                                         / TM_UV_US_PER_MS,
                  0);
}

/* Create a timer service for DRIVER and run it from LOOP.  Times are those of
   CLOCK_BOOTTIME.  */
void
tm_uv_start (struct tm_uv *driver, uv_loop_t *loop)
{
  driver->service = tm_new_clock (tm_uv_clock_us);
  uv_timer_init (loop, &driver->timer);
  driver->timer.data = driver;
  uv_prepare_init (loop, &driver->refresh);
  driver->refresh.data = driver;
  uv_prepare_start (&driver->refresh, tm_uv_prepare);
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
  uv_close ((uv_handle_t *)&driver->refresh, NULL);
  tm_free (driver->service);
  driver->service = NULL;
}
