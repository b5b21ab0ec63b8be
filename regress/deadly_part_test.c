#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that requests which crash the endpoints that run them, because of one
   part of their prompt or as a whole, stop reaching endpoints, and that sound
   requests that share all other parts do not.  */

/* Crashes that are closer to each other have a common cause.  */
#define CRASH_PAUSE_MS 60
/* Requests that may reach endpoints until the cause is known.  */
#define PART_SENDS_MAX  4
#define WHOLE_SENDS_MAX 3
#define FLOW            "/flow/x"
#define RESUME          "/resume/x"
#define AGAIN           "/again/x"

/* Traits, the time in which the leader could write all of them, and how many
   it may write.  */
#define MANY          100
#define MANY_SAVED_MS 4500
#define SAVED_MAX     64
/* An entry of a process that has died is gone after this time.  */
#define LATER_MS 6000
/* The leader repeats what the store does not have each second.  */
#define REPEAT_MS 1500

static struct gw second;
static struct gw third;
/* The instance to which requests are sent.  */
static struct gw *target_gw = &gwf_gw;
static uint32_t next_id;

/* An endpoint crashes when it begins to answer; one that only resets the
   connection lives on.  */
static const struct wire_script crash = { GWF_EVENTS, WIRE_CRASH, false };
static const struct wire_script crash_early = { "", WIRE_CRASH, false };
static const struct wire_script crash_late
    = { GWF_EVENTS GWF_EVENT ("1"), WIRE_CRASH, false };
static const struct wire_script reset = { GWF_EVENTS, WIRE_RESET, false };
static const struct wire_script sound
    = { GWF_EVENTS GWF_EVENT ("1") "0\r\n\r\n", WIRE_KEEP, false };
static const struct wire_script misdirected
    = { "HTTP/1.1 421 M\r\nX-Cowslipcove-Instance-Id: other\r\n" GWF_ECHO_ID
        "Content-Length: 0\r\n\r\n",
        WIRE_KEEP, false };
static const struct wire_script misdirected_unnamed
    = { "HTTP/1.1 421 M\r\n" GWF_ECHO_ID "Content-Length: 0\r\n\r\n",
        WIRE_KEEP, false };

static void
wait_ms (uint32_t wait_ms)
{
  uint64_t start_us = tm_now_us (gwf_gw.tm);

  while (tm_now_us (gwf_gw.tm) - start_us < wait_ms * GW_US_PER_MS)
    uv_run (gwf_gw.loop, UV_RUN_NOWAIT);
}

/* Send a request for TARGET with the prompt PARTS and BODY to endpoints that
   respond with SCRIPT, and store the number of requests that reached them in
   ARRIVALS.  Return the status that the caller got.  The endpoints that
   crashed are back afterwards.  */
static uint16_t
call (const char *target, const char *parts, const char *body,
      const struct wire_script *script, uint32_t *arrivals)
{
  char *bytes = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: h\r\n" GWF_ID_NAME ": d%u\r\n"
      "X-Cowslipcove-Prompt-Prefix: %s\r\n"
      "X-Cowslipcove-Deadline-Remaining: 900\r\nContent-Length: %zu\r\n\r\n"
      "%s",
      target, ++next_id, parts, strlen (body), body);
  struct wire_caller *caller;
  uint16_t status;

  gwf_reset_endpoints ();
  for (uint32_t i = 0; i < GWF_ENDPOINTS; i++)
    gwf_set_script (i, script);
  caller = gwf_call_instance (target_gw, bytes, 1);
  status = wire_caller_status (caller);
  gwf_end_call (caller);
  wait_ms (CRASH_PAUSE_MS);
  *arrivals = 0;
  for (uint32_t i = 0; i < GWF_ENDPOINTS; i++)
    {
      *arrivals += wire_endpoint_requests (gwf_endpoints[i]);
      gwf_restart_endpoint (i);
    }
  g_free (bytes);
  return status;
}

/* Send COUNT requests for TARGET whose prompts share PARTS but for the last
   one, and return how many requests reached endpoints that respond with
   SCRIPT.  */
static uint32_t
call_with_parts (const char *target, const char *parts,
                 const struct wire_script *script, uint32_t count)
{
  uint32_t total = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      char *all = g_strdup_printf ("%s,e%u:9", parts, next_id);
      char *body = g_strdup_printf ("body %u", next_id);
      uint32_t arrivals = 0;

      (void)call (target, all, body, script, &arrivals);
      total += arrivals;
      g_free (all);
      g_free (body);
    }
  return total;
}

/* Guards against requests with one part that crash endpoint after endpoint,
   no two of them alike.  */
static void
test_part (void)
{
  uint32_t arrivals = 0;

  gwf_start ();
  CU_ASSERT_TRUE (call_with_parts (FLOW, "a1:5,dead1:3", &crash, 6)
                  <= PART_SENDS_MAX);
  CU_ASSERT_EQUAL (call (FLOW, "a1:5,dead1:3,f1:2", "x", &crash, &arrivals),
                   503);
  CU_ASSERT_EQUAL (arrivals, 0);
  CU_ASSERT_EQUAL (call (FLOW, "a1:5,b1:3,f1:2", "x", &sound, &arrivals), 200);
}

/* The same where a request may run twice, and where the endpoint is gone
   before it answers.  */
static void
test_part_resumable (void)
{
  uint32_t arrivals = 0;

  gwf_start ();
  CU_ASSERT_TRUE (
      call_with_parts (RESUME, "a2:5,b2:1,dead2:3", &crash_early, 6)
      <= PART_SENDS_MAX);
  CU_ASSERT_EQUAL (
      call (RESUME, "a2:5,b2:1,dead2:3,f:2", "x", &crash, &arrivals), 503);
  CU_ASSERT_EQUAL (call (RESUME, "a2:5,b2:1,f:2", "x", &sound, &arrivals),
                   200);
}

/* Guards against taking an event that was written just before the crash for an
   answer.  */
static void
test_first_event (void)
{
  uint32_t arrivals = 0;

  gwf_start ();
  CU_ASSERT_TRUE (call_with_parts (FLOW, "a8:5,dead8:3", &crash_late, 6)
                  <= PART_SENDS_MAX);
  CU_ASSERT_TRUE (call_with_parts (RESUME, "a9:5,dead9:3", &crash_late, 6)
                  <= PART_SENDS_MAX);
  CU_ASSERT_EQUAL (call (FLOW, "a8:5,b8:3,f8:2", "x", &sound, &arrivals), 200);
}

/* Guards against one request that comes again and crashes endpoint after
   endpoint, also at a plain service.  */
static void
test_repeated (void)
{
  uint32_t arrivals = 0;
  uint32_t total = 0;

  gwf_start ();
  for (uint32_t i = 0; i < 6; i++)
    {
      (void)call (AGAIN, "-", "crash", &crash_early, &arrivals);
      total += arrivals;
    }
  CU_ASSERT_TRUE (total <= WHOLE_SENDS_MAX);
  CU_ASSERT_EQUAL (call (AGAIN, "-", "crash", &crash_early, &arrivals), 503);
  CU_ASSERT_EQUAL (call (AGAIN, "-", "other", &sound, &arrivals), 200);
}

/* Guards against blaming a part for connections that were reset by an endpoint
   that lives on.  */
static void
test_reset (void)
{
  gwf_start ();
  CU_ASSERT_EQUAL (call_with_parts (FLOW, "a3:5,b3:3", &reset, 6), 6);
}

/* Announce the endpoints w1 and w2, which get no requests, at ADDRESS in the
   zones of the two others.  */
static void
announce_neighbours (const char *address)
{
  for (uint32_t i = 1; i <= GWF_ENDPOINTS; i++)
    {
      char *key = g_strdup_printf ("servers/w%u", i);
      char *id = g_strdup_printf ("w%u", i);
      char *text = g_strdup_printf (
          "{\"Service\":\"other\",\"Address\":\"%s\",\"Zone\":\"z%u\","
          "\"Version\":\"v\",\"Slots\":8,\"State\":\"ready\","
          "\"ColdLeftMs\":0,\"Seq\":1,\"born\":1}",
          address, i);
      const struct flt_endpoint *endpoint;

      fake_kv_put (gwf_kv, key, text);
      while ((endpoint = flt_find (gwf_gw.fleet, id)) == NULL
             || !g_str_equal (endpoint->entry.address, address))
        uv_run (gwf_gw.loop, UV_RUN_ONCE);
      g_free (text);
      g_free (id);
      g_free (key);
    }
}

/* Guards against blaming a part for endpoints that a cut network refuses: no
   other one of their zones can be reached either.  */
static void
test_cut (void)
{
  char *address;

  gwf_start ();
  address = gwf_unused_address ();
  announce_neighbours (address);
  CU_ASSERT_EQUAL (call_with_parts (FLOW, "a10:5,b10:3", &crash, 6), 6);
  g_free (address);
  /* The same with neighbours that can be reached.  */
  address = g_strdup_printf ("127.0.0.1:%u", h1_server_port (gwf_gw.ready));
  announce_neighbours (address);
  CU_ASSERT_TRUE (call_with_parts (FLOW, "a11:5,dead11:3", &crash, 6)
                  <= PART_SENDS_MAX);
  g_free (address);
}

/* Guards against blaming a part with which requests are answered: the crashes
   have another cause.  */
static void
test_sound_part (void)
{
  gwf_start ();
  for (uint32_t i = 0; i < 4; i++)
    {
      CU_ASSERT_EQUAL (call_with_parts (FLOW, "a4:5,b4:3", &crash, 1), 1);
      CU_ASSERT_EQUAL (call_with_parts (FLOW, "a4:5,b4:3", &sound, 1), 1);
    }
}

/* Send a request for TARGET with PARTS and a part of its own to GW, whose
   endpoints crash.  Return the status, and 0 if an endpoint was reached.  */
static uint16_t
call_refused (struct gw *gw, const char *target, const char *parts)
{
  char *all = g_strdup_printf ("%s,e%u:9", parts, next_id);
  uint32_t arrivals = 0;
  uint16_t status;

  target_gw = gw;
  status = call (target, all, "x", &crash, &arrivals);
  target_gw = &gwf_gw;
  g_free (all);
  return arrivals == 0 ? status : 0;
}

/* Start the second instance, which the first one knows afterwards.  */
static void
start_second (void)
{
  gwf_start ();
  if (second.loop != NULL)
    return;
  gwf_start_instance (&second, "i2");
  while (gw_instance_count (&gwf_gw) < 2 || gw_instance_count (&second) < 2
         || gwf_gw.rpc == NULL || second.rpc == NULL)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
}

/* Guards against each instance learning by itself.  */
static void
test_other_instance (void)
{
  uint32_t arrivals = 0;

  start_second ();
  (void)call_with_parts (FLOW, "a5:5,dead5:3", &crash, 6);
  CU_ASSERT_EQUAL (call_refused (&second, FLOW, "a5:5,dead5:3"), 503);
  target_gw = &second;
  CU_ASSERT_EQUAL (call (FLOW, "a5:5,b5:3,f5:2", "x", &sound, &arrivals), 200);
  target_gw = &gwf_gw;
}

/* Guards against an instance that starts, or all of them, learning anew.  */
static void
test_restart (void)
{
  start_second ();
  (void)call_with_parts (FLOW, "a6:5,dead6:3", &crash, 6);
  while (fake_kv_count (gwf_kv, "cowslip/blocked/")
         < blm_blocked_count (gwf_gw.blame.table))
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  gwf_start_instance (&third, "i3");
  CU_ASSERT_EQUAL (call_refused (&third, FLOW, "a6:5,dead6:3"), 503);
}

/* Guards against an instance that was cut off, and missed the reports, while
   the store was away.  */
static void
test_store_away (void)
{
  cs_crash event = { .trait = 7 };

  start_second ();
  fake_kv_set_fault (gwf_kv, FAKE_KV_UNAVAILABLE);
  for (uint32_t i = 0; i < WHOLE_SENDS_MAX; i++)
    {
      event.crash = i;
      event.place = i;
      event.request = i;
      event.age_ms = i * CRASH_PAUSE_MS;
      gw_blame_add (&gwf_gw, &event);
    }
  CU_ASSERT_FALSE (blm_is_blocked (second.blame.table, event.trait));
  wait_ms (REPEAT_MS);
  CU_ASSERT_TRUE (blm_is_blocked (second.blame.table, event.trait));
  fake_kv_set_fault (gwf_kv, FAKE_KV_NONE);
}

/* Block TRAIT at both instances, with a crash of endpoint e1 as the first one
   of it.  */
static void
block_with_crash_of_first (uint64_t trait)
{
  cs_crash event = { .trait = trait, .age_ms = LATER_MS };
  const struct flt_endpoint *first;

  start_second ();
  first = flt_find (gwf_gw.fleet, "e1");
  event.crash = gw_crash_id ("e1", first->entry.started_ms);
  for (uint32_t i = 0; i < WHOLE_SENDS_MAX; i++)
    {
      event.place = i;
      event.request = i;
      event.age_ms -= CRASH_PAUSE_MS;
      gw_blame_add (&gwf_gw, &event);
      gw_blame_add (&second, &event);
      event.crash = trait + i;
    }
  CU_ASSERT_TRUE (blm_is_blocked (gwf_gw.blame.table, trait));
  CU_ASSERT_TRUE (blm_is_blocked (second.blame.table, trait));
}

/* Guards against refusing requests because of crashes that were none: an
   endpoint that was taken for crashed answers later.  */
static void
test_alive (void)
{
  const uint64_t trait = 1000;
  uint32_t arrivals = 0;

  block_with_crash_of_first (trait);
  CU_ASSERT_EQUAL (call (FLOW, "a12:5,b12:3", "x", &sound, &arrivals), 200);
  CU_ASSERT_FALSE (blm_is_blocked (gwf_gw.blame.table, trait));
  wait_ms (CRASH_PAUSE_MS);
  CU_ASSERT_FALSE (blm_is_blocked (second.blame.table, trait));
}

/* Guards against taking a crash back because of another process that now has
   the address and answers 421.  */
static void
check_successor (const struct wire_script *script, uint64_t trait)
{
  uint32_t arrivals = 0;

  block_with_crash_of_first (trait);
  (void)call (FLOW, "a13:5,b13:3", "x", script, &arrivals);
  CU_ASSERT_TRUE (arrivals >= GWF_ENDPOINTS);
  CU_ASSERT_TRUE (blm_is_blocked (gwf_gw.blame.table, trait));
  wait_ms (CRASH_PAUSE_MS);
  CU_ASSERT_TRUE (blm_is_blocked (second.blame.table, trait));
}

static void
test_successor (void)
{
  check_successor (&misdirected, 2000);
}

static void
test_successor_unnamed (void)
{
  check_successor (&misdirected_unnamed, 3000);
}

/* Block TRAIT and wait until the store has a record of it.  Return the key of
   the record, to be freed with g_free.  */
static char *
block_and_save (uint64_t trait)
{
  char *key
      = g_strdup_printf ("cowslip/blocked/%016" G_GINT64_MODIFIER "x", trait);
  cs_crash event = { .trait = trait };

  for (uint32_t i = 0; i < WHOLE_SENDS_MAX; i++)
    {
      event.crash = i;
      event.place = i;
      event.request = i;
      event.age_ms = (WHOLE_SENDS_MAX - i) * CRASH_PAUSE_MS;
      gw_blame_add (&gwf_gw, &event);
    }
  while (!gw_blame_is_saved (&gwf_gw, trait))
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  return key;
}

/* A list of the keys in the store that all instances get.  */
struct listing
{
  const char *left_out; /* key */
  int64_t era;          /* of all revisions */
  bool done;
};

static void
on_listed (void *arg, const struct kv_result *result)
{
  struct listing *listing = arg;
  struct gw *const instances[] = { &gwf_gw, &second, &third };
  struct kv_pair *pairs = g_new0 (struct kv_pair, result->pair_count + 1);
  size_t count = 0;

  for (size_t i = 0; i < result->pair_count; i++)
    if (!g_str_equal (result->pairs[i].key, listing->left_out))
      {
        pairs[count] = result->pairs[i];
        pairs[count++].revision
            += listing->era * (INT64_C (1) << KV_ERA_SHIFT);
      }
  for (size_t i = 0; i < G_N_ELEMENTS (instances); i++)
    if (instances[i]->loop != NULL)
      gw_blame_keys_read (instances[i], pairs, count);
  g_free (pairs);
  listing->done = true;
}

/* Let all instances read a list of the keys, in ERA, that lacks LEFT_OUT.  */
static void
list_without (const char *left_out, int64_t era)
{
  struct listing listing = { left_out, era, false };

  kv_get_prefix (&gwf_gw.store, ldr_key_prefix (), on_listed, &listing);
  while (!listing.done)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
}

static void
on_removed (void *arg, const struct kv_result *result)
{
  *(bool *)arg = result->outcome == KV_OK;
}

static void
remove_key (const char *key)
{
  struct kv_op op = { .kind = KV_DELETE, .key = key };
  struct kv_txn txn = { .then_ops = &op, .then_count = 1 };
  bool removed = false;

  kv_txn (&gwf_gw.store, &txn, on_removed, &removed);
  while (!removed)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
}

/* Guards against taking a record for removed that the store has lost, and
   against writing one again that was removed.  */
static void
test_record_lost (void)
{
  char *lost;
  char *removed;
  int64_t revision;

  start_second ();
  removed = block_and_save (10);
  list_without (removed, 0);
  CU_ASSERT_FALSE (blm_is_blocked (gwf_gw.blame.table, 10));
  remove_key (removed);
  lost = block_and_save (9);
  revision = fake_kv_revision (gwf_kv, lost);
  list_without (lost, 1);
  CU_ASSERT_TRUE (blm_is_blocked (gwf_gw.blame.table, 9));
  wait_ms (REPEAT_MS);
  CU_ASSERT_TRUE (fake_kv_revision (gwf_kv, lost) > revision);
  CU_ASSERT_EQUAL (fake_kv_revision (gwf_kv, removed), 0);
  /* All keys are lost.  */
  gw_blame_keys_read (&gwf_gw, NULL, 0);
  CU_ASSERT_TRUE (blm_is_blocked (gwf_gw.blame.table, 9));
  g_free (lost);
  g_free (removed);
}

/* The same for an instance that learns of the loss from the relay, which
   reports a removal.  */
static void
test_record_lost_relayed (void)
{
  struct kv_change change = { .revision = INT64_C (1) << KV_ERA_SHIFT };
  char *key;

  start_second ();
  key = block_and_save (11);
  change.key = key;
  gw_blame_key_changed (&gwf_gw, &change);
  CU_ASSERT_TRUE (blm_is_blocked (gwf_gw.blame.table, 11));
  CU_ASSERT_FALSE (gw_blame_is_saved (&gwf_gw, 11));
  /* A removal without a loss.  */
  remove_key (key);
  wait_ms (REPEAT_MS);
  CU_ASSERT_FALSE (blm_is_blocked (gwf_gw.blame.table, 11));
  g_free (key);
}

/* Guards against traits without number in the store and in messages, such as
   those of requests to a service whose only endpoint crashes by itself.  */
static void
test_many (void)
{
  cs_crash event = { 0 };
  uint32_t before;

  gwf_start ();
  before = blm_blocked_count (gwf_gw.blame.table);
  for (uint32_t i = 0; i < MANY * WHOLE_SENDS_MAX; i++)
    {
      event.crash = i % WHOLE_SENDS_MAX;
      event.place = event.crash;
      event.trait = MANY + i / WHOLE_SENDS_MAX;
      event.request = event.trait;
      event.age_ms = (WHOLE_SENDS_MAX - event.crash) * CRASH_PAUSE_MS;
      gw_blame_add (&gwf_gw, &event);
    }
  CU_ASSERT_EQUAL (blm_blocked_count (gwf_gw.blame.table), before + MANY);
  wait_ms (MANY_SAVED_MS);
  CU_ASSERT_EQUAL (fake_kv_count (gwf_kv, "cowslip/blocked/"), SAVED_MAX);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "part of a prompt", test_part },
          { "part of a prompt, resumable", test_part_resumable },
          { "crash after the first event", test_first_event },
          { "repeated request", test_repeated },
          { "connections that were reset", test_reset },
          { "network that refuses", test_cut },
          { "sound part", test_sound_part },
          { "another instance", test_other_instance },
          { "restart", test_restart },
          { "store away", test_store_away },
          { "process that lives", test_alive },
          { "another process at the address", test_successor },
          { "another process, no name", test_successor_unnamed },
          { "record lost", test_record_lost },
          { "record lost, relayed", test_record_lost_relayed },
          { "many traits", test_many },
          { NULL, NULL } };

  return unit_main ("deadly_part", tests);
}
