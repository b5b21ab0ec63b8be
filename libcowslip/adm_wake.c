#include "adm_impl.h"
#include "adm_order.h"

/* Every so many starts, a request close to its latest start goes
   first, so that a steady flow of higher classes starves no class.  */
#define ADM_LATE_TURN 4
/* A request is close to its latest start in the last quarter of its wait.  */
#define ADM_LATE_SHARE 4

/* Return whether ENTRY goes before others now because its latest start is
   near.  */
static bool
adm_is_late (const struct adm_queues *queues, const struct adm_entry *entry)
{
  uint64_t margin_us = (entry->latest_us - entry->arrived_us) / ADM_LATE_SHARE;

  return queues->turn % ADM_LATE_TURN == ADM_LATE_TURN - 1
         && tm_now_us (queues->tm) + margin_us >= entry->latest_us;
}

/* Return the request of QUEUE whose turn it is, or NULL.  */
static struct adm_entry *
adm_head (const struct adm_queues *queues, const struct adm_queue *queue,
          int lane)
{
  struct adm_entry *late = adm_first (queue->late);

  if (lane == ADM_LANE_FREE && late != NULL && adm_is_late (queues, late))
    return late;
  return adm_first (queue->lanes[lane]);
}

/* Return whether A goes before B, which wait for different models.  */
static bool
adm_precedes (const struct adm_queues *queues, const struct adm_entry *a,
              const struct adm_entry *b)
{
  bool a_late = adm_is_late (queues, a);

  if (a_late != adm_is_late (queues, b))
    return a_late;
  return (a_late ? adm_by_latest (a, b, NULL) : adm_by_turn (a, b, NULL)) < 0;
}

/* Try to start the request whose turn it is; return whether the lane may have
   another one that can start.  */
static bool
adm_start_head (struct adm_queues *queues, struct adm_queue *queue, int lane)
{
  struct adm_entry *entry = adm_head (queues, queue, lane);

  if (entry == NULL)
    return false;
  /* The owner takes the entry out of the queue when it starts it.  */
  switch (queues->actions.start (queues->arg, entry))
    {
    case ADM_STARTED:
      queues->turn++;
      return true;
    case ADM_GONE:
      return true;
    case ADM_SUSPECT_WAITS:
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
  bool stuck[count + 1];

  for (uint32_t i = 0; i < count; i++)
    stuck[i] = false;
  for (;;)
    {
      struct adm_queue *best = NULL;
      const struct adm_entry *best_head = NULL;
      uint32_t at = 0;

      for (uint32_t i = 0; i < count; i++)
        {
          struct adm_queue *queue
              = stuck[i] ? NULL
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
      stuck[at] = !adm_start_head (queues, best, lane);
    }
}

/* Capacity may have become free for the COUNT models in MODELS, which share
   endpoints: start what can start, the highest in order first.  */
void
adm_wake (struct adm_queues *queues, const char *const *models, uint32_t count)
{
  if (adm_waiting (queues) == 0)
    return;
  for (int lane = 0; lane < ADM_LANES; lane++)
    adm_wake_lane (queues, models, count, lane);
}

/* Capacity may have become free for any model.  */
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
