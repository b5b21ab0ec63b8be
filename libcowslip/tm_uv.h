#ifndef COWSLIP_TM_UV_H
#define COWSLIP_TM_UV_H

#include <uv.h>

#include "tm.h"

/* Drives a timer service from a libuv loop.  */
struct tm_uv
{
  struct tm_service *service;
  uv_timer_t timer;
  uv_prepare_t refresh;
};

void tm_uv_start (struct tm_uv *driver, uv_loop_t *loop);
void tm_uv_stop (struct tm_uv *driver);
void tm_uv_refresh (struct tm_uv *driver);

#endif
