#include "engine.h"

#define ENG_SNAPSHOT_INTERVAL_US (50 * STAND_US_PER_MS)

/* The load at a point in time.  GET /admin/report returns a past one.  */
struct eng_snapshot
{
  uint64_t time_us;
  uint64_t used_bytes;
  uint32_t running;
  uint32_t waiting;
};

static void
eng_snapshot_take (void *arg)
{
  struct engine *engine = arg;
  struct eng_snapshot *snapshot = g_new0 (struct eng_snapshot, 1);
  uint64_t lag_us = (uint64_t)engine->options->report_lag_ms * STAND_US_PER_MS;
  const struct eng_snapshot *second;

  snapshot->time_us = stand_now_us ();
  snapshot->used_bytes = eng_used_bytes (engine);
  snapshot->running = engine->running->len;
  snapshot->waiting = (uint32_t)g_sequence_get_length (engine->waiting);
  g_queue_push_tail (&engine->snapshots, snapshot);
  /* The head is the newest snapshot that is at least lag_us old.  */
  while ((second = g_queue_peek_nth (&engine->snapshots, 1)) != NULL
         && second->time_us + lag_us <= snapshot->time_us)
    g_free (g_queue_pop_head (&engine->snapshots));
  tm_after (engine->host->tm, &engine->snapshot_timer,
            ENG_SNAPSHOT_INTERVAL_US, eng_snapshot_take, engine);
}

/* Start to take periodic snapshots of the load.  */
void
eng_snapshots_start (struct engine *engine)
{
  g_queue_init (&engine->snapshots);
  eng_snapshot_take (engine);
}

/* Handle GET /admin/report.  */
void
eng_report_serve (struct engine *engine, struct http_exchange *exchange)
{
  const struct eng_snapshot *snapshot = g_queue_peek_head (&engine->snapshots);
  struct json_object *body = json_object_new_object ();

  stand_add_int (body, "running", snapshot->running);
  stand_add_int (body, "waiting", snapshot->waiting);
  stand_add_int (body, "used_bytes", (int64_t)snapshot->used_bytes);
  stand_add_int (
      body, "age_ms",
      (int64_t)((stand_now_us () - snapshot->time_us) / STAND_US_PER_MS));
  json_object_object_add (body, "leaving",
                          json_object_new_boolean (
                              stand_fault_value (&engine->faults, "leaving")));
  stand_reply (exchange, 200, body);
}
