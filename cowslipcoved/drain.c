#include "drain.h"
#include "claims.h"
#include "control.h"
#include "lg.h"
#include "requests.h"
#include "services.h"

#define DRAIN_POLL_US   50000
#define DRAIN_US_PER_MS 1000

/* State of the graceful shutdown of this process.  */
struct drain_state
{
  struct cd_daemon *daemon;
  struct tm_timer poll;
  uint64_t started_us;
  uint64_t last_request_us;
  bool handed_over;
  bool accepting;
};

static struct drain_state drain;

static void
drain_handed_over (void *arg)
{
  struct drain_state *state = arg;

  state->handed_over = true;
}

static bool
drain_idle (const struct cd_daemon *daemon)
{
  return http_server_active (daemon->server) == 0
         && cd_requests_active (daemon) == 0
         && cd_services_active (daemon) == 0
         && cd_claims_pending (daemon) == 0;
}

static void
drain_poll (void *arg)
{
  struct drain_state *state = arg;
  struct cd_daemon *daemon = state->daemon;
  uint64_t now_us = tm_now_us (daemon->tm);
  uint64_t notice_us
      = (uint64_t)daemon->settings->drain_notice_ms * DRAIN_US_PER_MS;
  uint64_t max_us = (uint64_t)daemon->settings->drain_max_ms * DRAIN_US_PER_MS;

  /* The load balancer keeps sending until it has seen readiness fail, so
     requests are accepted until none has arrived for the notice time.  */
  if (state->accepting && now_us - state->last_request_us >= notice_us)
    {
      http_server_stop_accepting (daemon->server);
      state->accepting = false;
    }
  if ((!state->accepting && state->handed_over && drain_idle (daemon))
      || now_us - state->started_us >= max_us)
    {
      uv_stop (daemon->loop);
      return;
    }
  tm_after (daemon->tm, &state->poll, DRAIN_POLL_US, drain_poll, state);
}

/* Begin a graceful shutdown: readiness fails, control is handed over, and the
   loop stops when no request is in progress any more or after
   drain_max_ms.  */
void
cd_drain (struct cd_daemon *daemon)
{
  if (daemon->draining)
    return;
  lg_write (LG_DRAIN, "instance %s, %u requests in progress",
            daemon->settings->instance, http_server_active (daemon->server));
  daemon->draining = true;
  drain.daemon = daemon;
  drain.started_us = tm_now_us (daemon->tm);
  drain.last_request_us = drain.started_us;
  drain.accepting = true;
  http_server_close_idle (daemon->server);
  cd_publish (daemon, CD_DRAIN, NULL);
  cd_control_hand_over (daemon, drain_handed_over, &drain);
  drain_poll (&drain);
}

/* Record the arrival of a request; while draining it extends the time in which
   requests are accepted.  */
void
cd_drain_requested (struct cd_daemon *daemon)
{
  if (daemon->draining)
    drain.last_request_us = tm_now_us (daemon->tm);
}
