#include "targets.h"

/* Polling interval, and so the delay with which a balancer notices that an
   instance is not ready.  */
#define LD_READY_POLL_US    200000U
#define LD_READY_TIMEOUT_MS 500

struct ld_target
{
  struct ld_targets *targets;
  const char *address;
  struct tm_timer poll;
  bool ready;
};

struct ld_targets
{
  struct http_client *client;
  struct tm_service *tm;
  struct ld_target *entries;
  guint count;
};

static void
ld_target_poll_done (void *arg, const struct http_response *response)
{
  struct ld_target *target = arg;

  target->ready
      = response->outcome == HTTP_COMPLETE && response->status == 200;
}

static void
ld_target_poll (void *arg)
{
  struct ld_target *target = arg;
  struct http_request request = { .method = "GET",
                                  .address = target->address,
                                  .path = "/readyz",
                                  .timeout_ms = LD_READY_TIMEOUT_MS };

  (void)http_fetch (target->targets->client, &request, ld_target_poll_done,
                    target);
  tm_after (target->targets->tm, &target->poll, LD_READY_POLL_US,
            ld_target_poll, target);
}

/* Return the targets at ADDRESSES, all assumed ready.  If FOLLOW_READY, poll
   the readiness of each every LD_READY_POLL_US.  */
struct ld_targets *
ld_targets_new (struct http_client *client, struct tm_service *tm,
                const GPtrArray *addresses, bool follow_ready)
{
  struct ld_targets *targets = g_new0 (struct ld_targets, 1);

  targets->client = client;
  targets->tm = tm;
  targets->count = addresses->len;
  targets->entries = g_new0 (struct ld_target, addresses->len);
  for (guint i = 0; i < addresses->len; i++)
    {
      struct ld_target *target = &targets->entries[i];

      target->targets = targets;
      target->address = addresses->pdata[i];
      target->ready = true;
      if (follow_ready)
        ld_target_poll (target);
    }
  return targets;
}

/* Stop polling and free TARGETS.  The event loop must have stopped, because
   responses may be pending.  */
void
ld_targets_free (struct ld_targets *targets)
{
  for (guint i = 0; i < targets->count; i++)
    tm_cancel (targets->tm, &targets->entries[i].poll);
  g_free (targets->entries);
  g_free (targets);
}

/* Return the index of the first ready target at or after PREFERRED, modulo the
   number of targets, or PREFERRED if none is ready.  TARGETS must not be
   empty.  */
guint
ld_targets_select (const struct ld_targets *targets, guint preferred)
{
  g_assert (targets->count > 0);
  for (guint i = 0; i < targets->count; i++)
    if (targets->entries[(preferred + i) % targets->count].ready)
      return (preferred + i) % targets->count;
  return targets->count == 0 ? 0 : preferred % targets->count;
}
