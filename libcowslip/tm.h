#ifndef COWSLIP_TM_H
#define COWSLIP_TM_H

#include <stdbool.h>
#include <stdint.h>

/* A timer service: the only source of time for the decision modules.
   tm_uv.h drives it from a libuv loop; tests drive it with tm_advance.  */
struct tm_service;

/* One pending or idle timer, embedded in its owner and zeroed at first.  */
struct tm_timer
{
  uint64_t due_us;
  uint64_t order;
  void (*fire) (void *arg);
  void *arg;
  void *node;
};

struct tm_service *tm_new (uint64_t start_us);
struct tm_service *tm_new_clock (uint64_t (*clock_us) (void));
void tm_free (struct tm_service *service);
uint64_t tm_now_us (const struct tm_service *service);
void tm_after (struct tm_service *service, struct tm_timer *timer,
               uint64_t delay_us, void (*fire) (void *arg), void *arg);
void tm_cancel (struct tm_service *service, struct tm_timer *timer);
bool tm_pending (const struct tm_timer *timer);
void tm_advance (struct tm_service *service, uint64_t now_us);
uint64_t tm_next_due_us (const struct tm_service *service);

#endif
