#include "adm_impl.h"
#include "adm_order.h"

/* One in this many starts goes to a request close to its latest start, so that
   steady load from higher classes does not starve the others.  */
#define ADM_URGENT_INTERVAL 4
/* A request is urgent in the last quarter of its maximum wait.  */
#define ADM_URGENT_WAIT_DIV 4

/* Return whether ENTRY precedes other requests now because its latest start is
   near.  */
static bool
adm_is_urgent (const struct adm_queues *queues, const struct adm_entry *entry)
{
  uint64_t margin_us
      = (entry->latest_start_us - entry->arrived_us) / ADM_URGENT_WAIT_DIV;

  return queues->start_count % ADM_URGENT_INTERVAL == ADM_URGENT_INTERVAL - 1
         && tm_now_us (queues->tm) + margin_us >= entry->latest_start_us;
}

/* Return the next request to start from LANE of QUEUE, or NULL.  */
static struct adm_entry *
adm_head (const struct adm_queues *queues, const struct adm_queue *queue,
          int lane)
{
  struct adm_entry *expiring = adm_first (queue->expiring);

  if (lane == ADM_LANE_NORMAL && expiring != NULL
      && adm_is_urgent (queues, expiring))
    return expiring;
  return adm_first (queue->lanes[lane]);
}

/* Return whether A starts before B, which is queued for a different model.  */
static bool
adm_precedes (const struct adm_queues *queues, const struct adm_entry *a,
              const struct adm_entry *b)
{
  bool a_urgent = adm_is_urgent (queues, a);

  if (a_urgent != adm_is_urgent (queues, b))
    return a_urgent;
  return (a_urgent ? adm_compare_latest_start (a, b, NULL)
                   : adm_compare_service (a, b, NULL))
         < 0;
}

/* Try to start the next request of LANE; return whether the lane may hold
   another request that can start.  */
static bool
adm_start_head (struct adm_queues *queues, struct adm_queue *queue, int lane)
{
  struct adm_entry *entry = adm_head (queues, queue, lane);

  if (entry == NULL)
    return false;
  /* The owner removes the entry from the queue when it starts it.  */
  switch (queues->actions.start (queues->arg, entry))
    {
    case ADM_STARTED:
      queues->start_count++;
      return true;
    case ADM_REFUSED:
      return true;
    case ADM_SUSPECT_BLOCKED:
      if (lane == ADM_LANE_SUSPECT)
        return false;
      adm_unlink (entry);
      entry->suspect = true;
      adm_insert (queues, queue, entry);
      return true;
    case ADM_NO_CAPACITY:
      break;
    }
  return false;
}

static void
adm_wake_lane (struct adm_queues *queues, const char *const *models,
               uint32_t count, int lane)
{
  bool blocked[count + 1];

  for (uint32_t i = 0; i < count; i++)
    blocked[i] = false;
  for (;;)
    {
      struct adm_queue *best = NULL;
      const struct adm_entry *best_head = NULL;
      uint32_t at = 0;

      for (uint32_t i = 0; i < count; i++)
        {
          struct adm_queue *queue
              = blocked[i] ? NULL
                           : g_hash_table_lookup (queues->by_model, models[i]);
          const struct adm_entry *head
              = queue == NULL ? NULL : adm_head (queues, queue, lane);

          if (head == NULL
              || (best_head != NULL
                  && !adm_precedes (queues, head, best_head)))
            continue;
          best = queue;
          best_head = head;
          at = i;
        }
      if (best == NULL)
        return;
      blocked[at] = !adm_start_head (queues, best, lane);
    }
}

/* Start queued requests for the COUNT models in MODELS, which share endpoints,
   in service order until no capacity is left.  Call it when capacity may have
   become free.  */
void
adm_wake (struct adm_queues *queues, const char *const *models, uint32_t count)
{
  if (adm_waiting (queues) == 0)
    return;
  for (int lane = 0; lane < ADM_LANES; lane++)
    adm_wake_lane (queues, models, count, lane);
}

/* Start queued requests for all models.  Call it when capacity may have become
   free for any of them.  */
void
adm_wake_all (struct adm_queues *queues)
{
  uint32_t count;
  const char **models = (const char **)g_hash_table_get_keys_as_array (
      queues->by_model, &count);

  for (uint32_t i = 0; i < count; i++)
    adm_wake (queues, &models[i], 1);
  g_free (models);
}
