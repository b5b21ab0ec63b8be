#ifndef COWSLIP_TM_H
#define COWSLIP_TM_H

#include <stdbool.h>
#include <stdint.h>

/* Timer service and source of time, which tests can replace by a simulated
   clock.  tm_uv.h drives it from a libuv loop; tests drive it with
   tm_advance.  */
struct tm_service;

/* A timer, embedded in its owner and initialized to zero.  */
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
