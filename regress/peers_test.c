#include <string.h>

#include <glib.h>

#include "chg.h"
#include "control.h"
#include "fake_kv.h"
#include "peers_impl.h"
#include "unit.h"

#define NODES      3
#define STEP_US    5000
#define TIMEOUT_US 120000000
#define DOCUMENT_FORMAT                                                       \
  "{\"name\":\"e\",\"classes\":{\"c\":{\"deadline_ms\":1000,"                 \
  "\"expected_ms\":100,\"priority\":1}},\"pools\":{\"p\":{\"memory_bytes\":"  \
  "1000,\"batch\":2,\"checks_fencing\":true,\"can_resume\":true,"             \
  "\"endpoints\":[{\"address\":\"%s\",\"zone\":\"z\"},"                       \
  "{\"address\":\"127.0.0.1:8\",\"zone\":\"y\",\"environment\":\"other\"}"    \
  "]}},\"models\":{},"                                                        \
  "\"adapters\":{},\"services\":{},\"limits\":{\"waiting_max\":10,"           \
  "\"retry_percent\":%u,\"adapter_loads_max\":4,\"weight_loads_max\":2}}"

/* Events that one instance published to its other modules.  */
struct observed
{
  uint32_t documents;
  uint32_t loads;
  uint32_t running;
  uint32_t age_ms;
  uint32_t suspects;
  uint64_t fingerprint;
  bool leaving;
};

/* Three instances in one process on one event loop, with real RPC and HTTP
   connections and simulated time.  Each test has its own static rig, because
   an HTTP server holds its connections until the process exits.  */
struct rig
{
  uv_loop_t loop;
  struct tm_service *tm;
  struct ctr_set *counters;
  struct http_client *client;
  struct http_server *engine;
  struct fake_kv *kv;
  struct cd_daemon nodes[NODES];
  struct observed observed[NODES];
  char engine_address[32];
  char *text;      /* the document written last */
  bool omit_patch; /* history entries are written without a patch */
  bool engine_leaving;
  bool listed_leaving;
  uint32_t acked;
};

/* Stub for programs that do not link the controller: no instance is a
   controller.  */
__attribute__ ((weak)) uint64_t
cd_control_fence (const struct cd_daemon *daemon)
{
  (void)daemon;
  return 0;
}

static void
on_request (void *arg, struct http_exchange *exchange)
{
  const struct rig *rig = arg;
  char *body
      = strcmp (http_path (exchange), "/instances") == 0
            ? g_strdup_printf ("{\"instances\":[{\"address\":\"%s\","
                               "\"zone\":\"z\",\"state\":\"%s\"}]}",
                               rig->engine_address,
                               rig->listed_leaving ? "leaving" : "live")
            : g_strdup_printf ("{\"running\":3,\"waiting\":1,\"used_bytes\":0,"
                               "\"age_ms\":40,\"leaving\":%s}",
                               rig->engine_leaving ? "true" : "false");

  http_respond (exchange, 200, "application/json", body, strlen (body));
  g_free (body);
}

static void
on_document (void *arg, const void *payload)
{
  (void)payload;
  ((struct observed *)arg)->documents++;
}

static void
on_load (void *arg, const void *payload)
{
  struct observed *observed = arg;

  observed->loads++;
  observed->running = ((const struct cd_load *)payload)->running;
  observed->age_ms = ((const struct cd_load *)payload)->age_ms;
}

static void
on_leaving (void *arg, const void *payload)
{
  ((struct observed *)arg)->leaving
      = ((const struct cd_leaving *)payload)->leaving;
}

static void
on_suspects (void *arg, const void *payload)
{
  const cs_suspects *received = payload;
  struct observed *observed = arg;

  observed->suspects++;
  observed->fingerprint = received->suspects.suspects_val[0].fingerprint;
}

static void
node_start (struct rig *rig, uint32_t index, uint64_t incarnation)
{
  static const cd_notify notify[CD_EVENT_COUNT]
      = { [CD_DOCUMENT] = on_document,
          [CD_LOAD] = on_load,
          [CD_LEAVING] = on_leaving,
          [CD_SUSPECTS] = on_suspects };
  struct cd_daemon *daemon = &rig->nodes[index];
  struct set_settings *settings = g_new0 (struct set_settings, 1);
  struct rpc_config config = { .incarnation = incarnation,
                               .address = "127.0.0.1:0",
                               .key = "0123456789abcdef0123456789abcdef",
                               .key_bytes = 32 };

  memset (daemon, 0, sizeof *daemon);
  settings->instance = g_strdup_printf ("n%u", index);
  settings->zone = g_strdup ("z");
  settings->environment = g_strdup ("e");
  settings->http_address = g_strdup ("127.0.0.1:1");
  settings->instance_list_address = g_strdup (rig->engine_address);
  settings->peers = g_ptr_array_new ();
  settings->member_number = index + 1;
  config.instance = settings->instance;
  daemon->settings = settings;
  daemon->loop = &rig->loop;
  daemon->tm = rig->tm;
  daemon->counters = rig->counters;
  daemon->client = rig->client;
  daemon->kv = fake_kv_store (rig->kv);
  daemon->incarnation = incarnation;
  daemon->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (daemon->random, incarnation);
  daemon->rpc
      = rpc_node_new (&rig->loop, rig->tm, rig->counters, &config, NULL);
  memset (&rig->observed[index], 0, sizeof rig->observed[index]);
  for (int event = 0; event < CD_EVENT_COUNT; event++)
    if (notify[event] != NULL)
      cd_subscribe (daemon, (enum cd_event)event, notify[event],
                    &rig->observed[index]);
  daemon->peers = cd_peers_new (daemon);
}

static void
node_stop (struct rig *rig, uint32_t index)
{
  struct cd_daemon *daemon = &rig->nodes[index];
  struct set_settings *settings = daemon->settings;

  fake_kv_cancel_calls (rig->kv, daemon->peers->reg);
  fake_kv_cancel_calls (rig->kv, daemon->peers->cfg);
  fake_kv_cancel_calls (rig->kv, daemon->peers->suspects_store);
  cd_peers_free (daemon->peers);
  rpc_node_free (daemon->rpc);
  for (int event = 0; event < CD_EVENT_COUNT; event++)
    if (daemon->subscribers[event] != NULL)
      g_array_free (daemon->subscribers[event], TRUE);
  gsl_rng_free (daemon->random);
  g_ptr_array_free (settings->peers, TRUE);
  g_free (settings->instance);
  g_free (settings->zone);
  g_free (settings->environment);
  g_free (settings->http_address);
  g_free (settings->instance_list_address);
  g_free (settings);
}

/* Write the history entry of a change to TEXT.  It contains a patch unless it
   is the first one or the test omits patches.  */
static void
put_entry (struct rig *rig, uint64_t generation, const char *digest,
           const char *text)
{
  struct pch_patch *patch
      = rig->text == NULL || rig->omit_patch
            ? NULL
            : pch_diff (rig->text, strlen (rig->text), text, strlen (text));
  struct json_object *encoded = patch == NULL ? NULL : pch_encode (patch);
  char *key = chg_history_key ("e", generation);
  char *entry = g_strdup_printf (
      "{\"generation\":%" G_GUINT64_FORMAT ",\"digest\":\"%s\","
      "\"author\":\"a\",\"change_id\":\"i\",\"time_ms\":1%s%s}",
      generation, digest, encoded == NULL ? "" : ",\"patch\":",
      encoded == NULL ? "" : json_object_to_json_string (encoded));

  fake_kv_put (rig->kv, key, entry);
  json_object_put (encoded);
  pch_free (patch);
  g_free (entry);
  g_free (key);
}

/* Write the document and its history entry as a configuration change
   does.  */
static void
put_document (struct rig *rig, uint64_t generation, uint32_t percent)
{
  char *text = g_strdup_printf (DOCUMENT_FORMAT, rig->engine_address, percent);
  struct env_document *document = env_parse (text, strlen (text), NULL);
  char *escaped = g_strescape (text, NULL);
  char *value;

  CU_ASSERT_PTR_NOT_NULL (document);
  if (document != NULL)
    {
      value = g_strdup_printf ("{\"generation\":%" G_GUINT64_FORMAT
                               ",\"digest\":\"%s\",\"document\":\"%s\"}",
                               generation, env_digest (document), escaped);
      fake_kv_put (rig->kv, "cowslip/e/document", value);
      g_free (value);
      put_entry (rig, generation, env_digest (document), text);
    }
  env_unref (document);
  g_free (escaped);
  g_free (rig->text);
  rig->text = text;
}

static void
step (struct rig *rig)
{
  for (int i = 0; i < 4; i++)
    uv_run (&rig->loop, UV_RUN_NOWAIT);
  tm_advance (rig->tm, tm_now_us (rig->tm) + STEP_US);
}

/* Run until CONDITION holds; the test fails after TIMEOUT_US of simulated
   time.  Return the simulated time taken, in us.  */
static uint64_t
run_until (struct rig *rig, bool (*condition) (const struct rig *rig))
{
  uint64_t start_us = tm_now_us (rig->tm);

  while (!condition (rig) && tm_now_us (rig->tm) - start_us < TIMEOUT_US)
    step (rig);
  CU_ASSERT_TRUE (condition (rig));
  return tm_now_us (rig->tm) - start_us;
}

static bool
all_generation (const struct rig *rig, uint64_t generation)
{
  for (uint32_t i = 0; i < NODES; i++)
    if (cd_generation (&rig->nodes[i]) != generation)
      return false;
  return true;
}

static bool
all_at_generation_1 (const struct rig *rig)
{
  return all_generation (rig, 1);
}

static bool
all_at_generation_2 (const struct rig *rig)
{
  return all_generation (rig, 2);
}

static bool
all_at_generation_3 (const struct rig *rig)
{
  return all_generation (rig, 3);
}

static bool
all_connected (const struct rig *rig)
{
  for (uint32_t i = 0; i < NODES; i++)
    {
      const GPtrArray *members = mem_members (cd_members (&rig->nodes[i]));

      if (members->len != NODES)
        return false;
      for (guint m = 0; m < members->len; m++)
        if (!((const struct mem_member *)g_ptr_array_index (members, m))
                 ->reachable)
          return false;
    }
  return true;
}

static bool
all_loaded (const struct rig *rig)
{
  for (uint32_t i = 0; i < NODES; i++)
    if (rig->observed[i].running != 3)
      return false;
  return true;
}

static bool
all_leaving (const struct rig *rig)
{
  return rig->observed[0].leaving && rig->observed[1].leaving
         && rig->observed[2].leaving;
}

static bool
none_leaving (const struct rig *rig)
{
  return !rig->observed[0].leaving && !rig->observed[1].leaving
         && !rig->observed[2].leaving;
}

static bool
suspects_acked (const struct rig *rig)
{
  return rig->acked > 0;
}

static bool
peers_see_draining (const struct rig *rig)
{
  return mem_find (cd_members (&rig->nodes[1]), "n0")->draining
         && mem_find (cd_members (&rig->nodes[2]), "n0")->draining;
}

static void
rig_start (struct rig *rig)
{
  memset (rig, 0, sizeof *rig);
  uv_loop_init (&rig->loop);
  rig->tm = tm_new (1);
  rig->counters = ctr_new ();
  rig->client = http_client_new (&rig->loop, rig->tm);
  rig->kv = fake_kv_new (rig->tm, 1000);
  rig->engine = http_server_new (&rig->loop, rig->tm, "127.0.0.1:0", 1000,
                                 on_request, rig, NULL);
  g_snprintf (rig->engine_address, sizeof rig->engine_address, "127.0.0.1:%u",
              http_server_port (rig->engine));
  put_document (rig, 1, 1);
  for (uint32_t i = 0; i < NODES; i++)
    node_start (rig, i, 100 + i);
  run_until (rig, all_at_generation_1);
  run_until (rig, all_connected);
}

static void
rig_stop (struct rig *rig)
{
  for (uint32_t i = 0; i < NODES; i++)
    node_stop (rig, i);
  for (int i = 0; i < 1000; i++)
    step (rig);
  http_server_free (rig->engine);
  http_client_free (rig->client);
  for (int i = 0; i < 100 && uv_run (&rig->loop, UV_RUN_NOWAIT) != 0; i++)
    ;
  fake_kv_free (rig->kv);
  g_free (rig->text);
  tm_free (rig->tm);
  ctr_free (rig->counters);
}

/* Guards against a change that is not in force on every instance within 16 s,
   against an instance that reverts to an older generation that the key-value
   service returns, and against a document that does not match its digest.  */
static void
test_configuration (void)
{
  static struct rig rig;

  rig_start (&rig);
  put_document (&rig, 2, 2);
  CU_ASSERT_TRUE (run_until (&rig, all_at_generation_2) < 16000000);
  put_document (&rig, 1, 1);
  fake_kv_set_fault (rig.kv, FAKE_KV_UNAVAILABLE);
  for (int i = 0; i < 2000; i++)
    step (&rig);
  CU_ASSERT_TRUE (all_at_generation_2 (&rig));
  CU_ASSERT_FALSE (cd_kv_reachable (&rig.nodes[0]));
  fake_kv_set_fault (rig.kv, FAKE_KV_NONE);
  put_document (&rig, 3, 3);
  CU_ASSERT_TRUE (run_until (&rig, all_at_generation_3) < 16000000);
  CU_ASSERT_TRUE (all_connected (&rig));
  /* The digest does not match the text.  */
  fake_kv_put (rig.kv, "cowslip/e/document",
               "{\"generation\":4,\"digest\":\"0000000000000000\","
               "\"document\":\"{\\\"name\\\":\\\"e\\\",\\\"classes\\\":{},"
               "\\\"pools\\\":{},\\\"models\\\":{},\\\"adapters\\\":{},"
               "\\\"services\\\":{},\\\"limits\\\":{\\\"waiting_max\\\":1,"
               "\\\"retry_percent\\\":1,\\\"adapter_loads_max\\\":1,"
               "\\\"weight_loads_max\\\":1}}\"}");
  for (int i = 0; i < 2000; i++)
    step (&rig);
  CU_ASSERT_TRUE (all_at_generation_3 (&rig));
  rig_stop (&rig);
}

/* Return how many instances can supply patches from GENERATION with DIGEST to
   their current generation, which shows that they were updated by patches.  */
static uint32_t
patched_count (const struct rig *rig, uint64_t generation, const char *digest)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < NODES; i++)
    {
      GArray *entries
          = cfg_patches_since (rig->nodes[i].peers->cfg, generation, digest);

      count += entries != NULL;
      if (entries != NULL)
        g_array_free (entries, TRUE);
    }
  return count;
}

/* Guards against updates that ignore an available patch, changes without a
   patch that are not applied, and the use of endpoints that belong to another
   environment.  */
static void
test_patches (void)
{
  static struct rig rig;
  char *digest;

  rig_start (&rig);
  digest = g_strdup (env_digest (cd_document (&rig.nodes[0])));
  put_document (&rig, 2, 2);
  CU_ASSERT_TRUE (run_until (&rig, all_at_generation_2) < 16000000);
  CU_ASSERT_EQUAL (patched_count (&rig, 1, digest), NODES);
  CU_ASSERT_EQUAL (env_zones (cd_document (&rig.nodes[2]))->len, 1);
  g_free (digest);
  digest = g_strdup (env_digest (cd_document (&rig.nodes[0])));
  rig.omit_patch = true;
  put_document (&rig, 3, 3);
  CU_ASSERT_TRUE (run_until (&rig, all_at_generation_3) < 16000000);
  CU_ASSERT_EQUAL (patched_count (&rig, 2, digest), 0);
  g_free (digest);
  rig_stop (&rig);
}

/* Guards against load reports and leaving signs that do not reach every
   instance in time: 3 s after the first sign no new work may be sent to the
   endpoint.  */
static void
test_signals (void)
{
  uint32_t loads[NODES];
  static struct rig rig;

  rig_start (&rig);
  run_until (&rig, all_loaded);
  /* The load does not change, so most heartbeats omit it; each of them still
     confirms the last value.  */
  for (uint32_t i = 0; i < NODES; i++)
    loads[i] = rig.observed[i].loads;
  for (int i = 0; i < 2000; i++)
    step (&rig);
  for (uint32_t i = 0; i < NODES; i++)
    {
      CU_ASSERT_TRUE (rig.observed[i].loads - loads[i] >= 9);
      CU_ASSERT_TRUE (rig.observed[i].age_ms <= 1600);
    }
  CU_ASSERT_TRUE (ctr_get (rig.counters, "rpc_one_way_total") > 30);
  rig.listed_leaving = true;
  CU_ASSERT_TRUE (run_until (&rig, all_leaving) < 3000000);
  rig.listed_leaving = false;
  run_until (&rig, none_leaving);
  rig.engine_leaving = true;
  CU_ASSERT_TRUE (run_until (&rig, all_leaving) < 3000000);
  rig.engine_leaving = false;
  run_until (&rig, none_leaving);
  /* An address without engine reports: a report would clear the sign.  */
  cd_peers_set_leaving (&rig.nodes[2], "127.0.0.1:9", true);
  CU_ASSERT_TRUE (run_until (&rig, all_leaving) < 3000000);
  rig_stop (&rig);
}

static void
on_suspects_acked (void *arg)
{
  ((struct rig *)arg)->acked++;
}

/* Guards against a suspicion that is reported as acknowledged before every
   member has it, or never because a member has stopped, or that is not sent
   again to a restarted member, and against a drain that the other members do
   not see.  */
static void
test_suspects (void)
{
  cs_suspect suspect = { 77, 1, 0 };
  cs_suspects suspects;
  static struct rig rig;

  rig_start (&rig);
  suspects.suspects.suspects_len = 1;
  suspects.suspects.suspects_val = &suspect;
  cd_peers_send_suspects (&rig.nodes[0], &suspects, on_suspects_acked, &rig);
  CU_ASSERT_EQUAL (rig.acked, 0);
  run_until (&rig, suspects_acked);
  CU_ASSERT_EQUAL (rig.observed[1].fingerprint, 77);
  CU_ASSERT_EQUAL (rig.observed[2].fingerprint, 77);
  /* A restarted member has lost the suspicion and receives it again.  */
  node_stop (&rig, 2);
  node_start (&rig, 2, 203);
  run_until (&rig, all_connected);
  CU_ASSERT_EQUAL (rig.observed[2].fingerprint, 77);
  /* So has the one that had it first: the others know it from there.  */
  node_stop (&rig, 0);
  node_start (&rig, 0, 301);
  run_until (&rig, all_connected);
  CU_ASSERT_EQUAL (rig.observed[0].fingerprint, 77);
  run_until (&rig, all_loaded);
  cd_publish (&rig.nodes[0], CD_DRAIN, NULL);
  CU_ASSERT_TRUE (run_until (&rig, peers_see_draining) < 1000000);
  CU_ASSERT_STRING_EQUAL (mem_lowest (cd_members (&rig.nodes[1]))->instance,
                          "n1");
  rig_stop (&rig);
}

static bool
suspect_saved (const struct rig *rig)
{
  return fake_kv_count (rig->kv, "cowslip/e/suspects/z/") == 1;
}

static bool
suspect_known (const struct rig *rig)
{
  for (uint32_t i = 0; i < NODES; i++)
    if (rig->observed[i].fingerprint != 78)
      return false;
  return true;
}

/* Guards against forgetting which requests crash engines when all members
   restart, also if the service was away at the time of the crash.  */
static void
test_suspects_restart (void)
{
  cs_suspect suspect = { 78, 2, 0 };
  cs_suspects suspects;
  static struct rig rig;

  rig_start (&rig);
  run_until (&rig, all_connected);
  suspects.suspects.suspects_len = 1;
  suspects.suspects.suspects_val = &suspect;
  fake_kv_set_fault (rig.kv, FAKE_KV_UNAVAILABLE);
  cd_peers_send_suspects (&rig.nodes[0], &suspects, on_suspects_acked, &rig);
  run_until (&rig, suspects_acked);
  CU_ASSERT_FALSE (suspect_saved (&rig));
  fake_kv_set_fault (rig.kv, FAKE_KV_NONE);
  run_until (&rig, suspect_saved);
  for (uint32_t i = 0; i < NODES; i++)
    node_stop (&rig, i);
  for (uint32_t i = 0; i < NODES; i++)
    node_start (&rig, i, 400 + i);
  run_until (&rig, suspect_known);
  rig_stop (&rig);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "configuration", test_configuration },
          { "patches", test_patches },
          { "signals", test_signals },
          { "suspects", test_suspects },
          { "suspects, all restart", test_suspects_restart },
          { NULL, NULL } };

  return unit_main ("peers", tests);
}
