#ifndef COWSLIP_TM_UV_H
#define COWSLIP_TM_UV_H

#include <uv.h>

#include "tm.h"

/* Drives a timer service from a libuv loop.  */
struct tm_uv
{
  struct tm_service *service;
  uv_timer_t timer;
  uv_prepare_t before_poll;
  uv_check_t after_poll;
  bool stalled; /* the timers that are due fire after the poll */
};

void tm_uv_start (struct tm_uv *driver, uv_loop_t *loop);
void tm_uv_stop (struct tm_uv *driver);
void tm_uv_refresh (struct tm_uv *driver);

#endif
