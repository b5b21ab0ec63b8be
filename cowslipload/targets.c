#include "targets.h"

/* A balancer sees within this time that an instance is not ready.  */
#define LD_READY_EVERY_US   200000U
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
  struct ld_target *all;
  guint count;
};

static void
ld_target_answered (void *arg, const struct http_response *answer)
{
  struct ld_target *target = arg;

  target->ready = answer->outcome == HTTP_COMPLETE && answer->status == 200;
}

static void
ld_target_poll (void *arg)
{
  struct ld_target *target = arg;
  struct http_request request = { .method = "GET",
                                  .address = target->address,
                                  .path = "/readyz",
                                  .timeout_ms = LD_READY_TIMEOUT_MS };

  (void)http_fetch (target->targets->client, &request, ld_target_answered,
                    target);
  tm_after (target->targets->tm, &target->poll, LD_READY_EVERY_US,
            ld_target_poll, target);
}

/* Return the targets ADDRESSES, all of them ready at first.  If FOLLOW_READY,
   ask each five times a second whether it is.  */
struct ld_targets *
ld_targets_new (struct http_client *client, struct tm_service *tm,
                const GPtrArray *addresses, bool follow_ready)
{
  struct ld_targets *targets = g_new0 (struct ld_targets, 1);

  targets->client = client;
  targets->tm = tm;
  targets->count = addresses->len;
  targets->all = g_new0 (struct ld_target, addresses->len);
  for (guint i = 0; i < addresses->len; i++)
    {
      struct ld_target *target = &targets->all[i];

      target->targets = targets;
      target->address = addresses->pdata[i];
      target->ready = true;
      if (follow_ready)
        ld_target_poll (target);
    }
  return targets;
}

/* Stop asking and free TARGETS.  The loop must not run any more, because
   answers may be under way.  */
void
ld_targets_free (struct ld_targets *targets)
{
  for (guint i = 0; i < targets->count; i++)
    tm_cancel (targets->tm, &targets->all[i].poll);
  g_free (targets->all);
  g_free (targets);
}

/* Return the index of the first ready target from WANTED on, or that of WANTED
   if none is ready.  There must be a target.  */
guint
ld_targets_select (const struct ld_targets *targets, guint wanted)
{
  g_assert (targets->count > 0);
  for (guint i = 0; i < targets->count; i++)
    if (targets->all[(wanted + i) % targets->count].ready)
      return (wanted + i) % targets->count;
  return targets->count == 0 ? 0 : wanted % targets->count;
}
