#include "adm_impl.h"
#include "adm_order.h"

/* Weight of the newest duration in the moving average of its class.  */
#define ADM_DURATION_WEIGHT 0.1
/* Time reserved for the refusal to reach the caller before the deadline.  */
#define ADM_REFUSAL_MARGIN_US 5000

static void
adm_queue_free (gpointer data)
{
  struct adm_queue *queue = data;

  for (int i = 0; i < ADM_LANES; i++)
    g_sequence_free (queue->lanes[i]);
  g_sequence_free (queue->expiring);
  g_free (queue->model);
  g_free (queue);
}

/* Return a new set of empty queues that calls ACTIONS with ARG.  */
struct adm_queues *
adm_new (struct tm_service *tm, const struct adm_actions *actions, void *arg)
{
  struct adm_queues *queues = g_new0 (struct adm_queues, 1);

  queues->tm = tm;
  queues->actions = *actions;
  queues->arg = arg;
  queues->by_model
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, adm_queue_free);
  queues->durations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  queues->by_eviction = g_sequence_new (NULL);
  return queues;
}

/* Free QUEUES, which must hold no request.  */
void
adm_free (struct adm_queues *queues)
{
  if (queues == NULL)
    return;
  g_hash_table_destroy (queues->by_model);
  g_hash_table_destroy (queues->durations);
  g_sequence_free (queues->by_eviction);
  g_free (queues);
}

/* Limit the queues to WAITING_MAX requests in total.  */
void
adm_set_limit (struct adm_queues *queues, uint32_t waiting_max)
{
  queues->waiting_max = waiting_max;
}

static struct adm_queue *
adm_queue (struct adm_queues *queues, const char *model)
{
  struct adm_queue *queue = g_hash_table_lookup (queues->by_model, model);

  if (queue != NULL)
    return queue;
  queue = g_new0 (struct adm_queue, 1);
  queue->model = g_strdup (model);
  for (int i = 0; i < ADM_LANES; i++)
    queue->lanes[i] = g_sequence_new (NULL);
  queue->expiring = g_sequence_new (NULL);
  g_hash_table_insert (queues->by_model, queue->model, queue);
  return queue;
}

/* Return the first entry of SEQUENCE, or NULL.  */
struct adm_entry *
adm_first (GSequence *sequence)
{
  return g_sequence_is_empty (sequence)
             ? NULL
             : g_sequence_get (g_sequence_get_begin_iter (sequence));
}

/* Remove ENTRY from its lane; its timer keeps running.  */
void
adm_unlink (struct adm_entry *entry)
{
  g_sequence_remove (entry->lane_iter);
  g_sequence_remove (entry->eviction_iter);
  if (entry->latest_start_iter != NULL)
    g_sequence_remove (entry->latest_start_iter);
  entry->latest_start_iter = NULL;
  entry->queue = NULL;
}

/* Remove ENTRY from its queue and cancel its timer.  Do nothing if it is not
   queued.  */
void
adm_remove (struct adm_queues *queues, struct adm_entry *entry)
{
  if (entry->queue == NULL)
    return;
  tm_cancel (queues->tm, &entry->timer);
  adm_unlink (entry);
}

static void
adm_refuse (struct adm_queues *queues, struct adm_entry *entry,
            enum rsn_refusal reason)
{
  adm_remove (queues, entry);
  queues->actions.refuse (queues->arg, entry, reason);
}

static void
adm_wait_expired (void *arg)
{
  struct adm_entry *entry = arg;

  adm_refuse (entry->queues, entry, RSN_QUEUE_DEADLINE);
}

/* Set the latest useful start of ENTRY: the average duration of its class and
   the refusal margin before the deadline, but not within the first half of the
   time to the deadline.  */
static void
adm_set_latest_start (struct adm_queues *queues, struct adm_entry *entry)
{
  uint64_t now_us = tm_now_us (queues->tm);
  uint64_t remaining_us
      = entry->deadline_us > now_us ? entry->deadline_us - now_us : 0;
  const double *average
      = g_hash_table_lookup (queues->durations, entry->class_name);
  uint64_t need_us
      = ADM_REFUSAL_MARGIN_US + (average == NULL ? 0 : (uint64_t)*average);

  entry->arrived_us = now_us;
  entry->latest_start_us
      = entry->deadline_us - MIN (need_us, remaining_us / 2);
}

static bool
adm_is_unservable (const struct adm_queue *queue,
                   const struct adm_entry *entry, enum rsn_refusal *reason)
{
  switch (queue->availability)
    {
    case ADM_NONE:
      *reason = RSN_NO_ENDPOINT;
      return true;
    case ADM_BLOCKED:
      *reason = RSN_CONTROL_UNAVAILABLE;
      return true;
    case ADM_EXPECTED:
      *reason = RSN_COLD_TOO_LATE;
      return queue->ready_us > entry->latest_start_us;
    case ADM_UNKNOWN:
    case ADM_READY:
      break;
    }
  return false;
}

/* Insert ENTRY into the suspect or the normal lane of QUEUE.  */
void
adm_insert (struct adm_queues *queues, struct adm_queue *queue,
            struct adm_entry *entry)
{
  int lane = entry->suspect ? ADM_LANE_SUSPECT : ADM_LANE_NORMAL;

  entry->queue = queue;
  entry->lane_iter = g_sequence_insert_sorted (queue->lanes[lane], entry,
                                               adm_compare_service, NULL);
  entry->eviction_iter = g_sequence_insert_sorted (queues->by_eviction, entry,
                                                   adm_compare_eviction, NULL);
  if (!entry->suspect)
    entry->latest_start_iter = g_sequence_insert_sorted (
        queue->expiring, entry, adm_compare_latest_start, NULL);
}

/* Make room for ENTRY: if the queues are full, evict a queued request of lower
   priority.  Return false if there is none.  */
static bool
adm_evict_for (struct adm_queues *queues, const struct adm_entry *entry)
{
  struct adm_entry *victim;

  if (adm_waiting (queues) < queues->waiting_max)
    return true;
  victim = adm_first (queues->by_eviction);
  if (victim == NULL || victim->priority >= entry->priority)
    return false;
  adm_refuse (queues, victim, RSN_QUEUE_FULL);
  return true;
}

static void
adm_enqueue (struct adm_queues *queues, struct adm_queue *queue,
             struct adm_entry *entry)
{
  uint64_t now_us = tm_now_us (queues->tm);
  enum rsn_refusal reason;

  entry->queues = queues;
  entry->arrival_number = queues->next_arrival_number++;
  adm_set_latest_start (queues, entry);
  if (adm_is_unservable (queue, entry, &reason))
    {
      queues->actions.refuse (queues->arg, entry, reason);
      return;
    }
  if (!adm_evict_for (queues, entry))
    {
      queues->actions.refuse (queues->arg, entry, RSN_QUEUE_FULL);
      return;
    }
  adm_insert (queues, queue, entry);
  tm_after (queues->tm, &entry->timer,
            entry->latest_start_us > now_us ? entry->latest_start_us - now_us
                                            : 0,
            adm_wait_expired, entry);
}

/* Count the arrival of a request for MODEL, which is reported as demand.  */
void
adm_count_arrival (struct adm_queues *queues, const char *model)
{
  adm_queue (queues, model)->arrivals++;
}

/* Start ENTRY now if its lane is empty and an endpoint has capacity; else
   queue or refuse it.  The actions may be called before the function
   returns.  */
void
adm_submit (struct adm_queues *queues, struct adm_entry *entry)
{
  struct adm_queue *queue = adm_queue (queues, entry->model);
  int lane = entry->suspect ? ADM_LANE_SUSPECT : ADM_LANE_NORMAL;
  enum adm_start start = ADM_NO_CAPACITY;

  if (g_sequence_is_empty (queue->lanes[lane]))
    start = queues->actions.start (queues->arg, entry);
  if (start == ADM_STARTED || start == ADM_REFUSED)
    return;
  if (start == ADM_SUSPECT_BLOCKED)
    entry->suspect = true;
  adm_enqueue (queues, queue, entry);
}

/* Set the AVAILABILITY of MODEL, with READY_US if it is ADM_EXPECTED, and
   refuse queued requests that cannot be served in time.  */
void
adm_set_availability (struct adm_queues *queues, const char *model,
                      enum adm_availability availability, uint64_t ready_us)
{
  struct adm_queue *queue = adm_queue (queues, model);

  queue->availability = availability;
  queue->ready_us = ready_us;
  for (int lane = 0; lane < ADM_LANES; lane++)
    {
      GSequenceIter *at = g_sequence_get_begin_iter (queue->lanes[lane]);

      while (!g_sequence_iter_is_end (at))
        {
          struct adm_entry *entry = g_sequence_get (at);
          enum rsn_refusal reason;

          at = g_sequence_iter_next (at);
          if (adm_is_unservable (queue, entry, &reason))
            adm_refuse (queues, entry, reason);
        }
    }
}

/* Add DURATION_US, from start to end of a request, to the average of
   CLASS_NAME.  */
void
adm_record_duration (struct adm_queues *queues, const char *class_name,
                     uint64_t duration_us)
{
  double *average = g_hash_table_lookup (queues->durations, class_name);

  if (average == NULL)
    {
      average = g_new (double, 1);
      *average = (double)duration_us;
      g_hash_table_insert (queues->durations, g_strdup (class_name), average);
      return;
    }
  *average += ((double)duration_us - *average) * ADM_DURATION_WEIGHT;
}

/* Return the number of queued requests.  */
uint32_t
adm_waiting (const struct adm_queues *queues)
{
  return (uint32_t)g_sequence_get_length (queues->by_eviction);
}

/* Return the number of queued requests for MODEL.  */
uint32_t
adm_waiting_for (const struct adm_queues *queues, const char *model)
{
  const struct adm_queue *queue
      = g_hash_table_lookup (queues->by_model, model);
  uint32_t waiting = 0;

  for (int lane = 0; queue != NULL && lane < ADM_LANES; lane++)
    waiting += (uint32_t)g_sequence_get_length (queue->lanes[lane]);
  return waiting;
}

/* Call EACH with ARG for each model with queued requests.  */
void
adm_foreach_waiting (const struct adm_queues *queues,
                     void (*each) (void *arg, const char *model,
                                   uint32_t waiting),
                     void *arg)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, queues->by_model);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      uint32_t waiting = adm_waiting_for (queues, key);

      if (waiting > 0)
        each (arg, key, waiting);
    }
}

static void
adm_demand_add (struct adm_demand *demand, GSequence *sequence)
{
  const struct adm_entry *first = adm_first (sequence);

  if (first == NULL)
    return;
  if (demand->waiting == 0 || first->priority > demand->priority)
    demand->priority = first->priority;
  demand->waiting += (uint32_t)g_sequence_get_length (sequence);
}

/* Call EACH with ARG for each model with demand, and reset the arrival counts
   of all models.  */
void
adm_collect_demands (struct adm_queues *queues,
                     void (*each) (void *arg, const struct adm_demand *demand),
                     void *arg)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queues->by_model);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct adm_queue *queue = value;
      struct adm_demand demand = { .model = queue->model,
                                   .earliest_us = UINT64_MAX,
                                   .arrivals = queue->arrivals };
      const struct adm_entry *entry = adm_first (queue->expiring);

      if (entry != NULL)
        demand.earliest_us = entry->deadline_us;
      entry = adm_first (queue->lanes[ADM_LANE_SUSPECT]);
      if (entry != NULL)
        demand.earliest_us = MIN (demand.earliest_us, entry->deadline_us);
      for (int lane = 0; lane < ADM_LANES; lane++)
        adm_demand_add (&demand, queue->lanes[lane]);
      queue->arrivals = 0;
      if (demand.waiting > 0 || demand.arrivals > 0)
        each (arg, &demand);
    }
}
