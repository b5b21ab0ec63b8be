#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "pf.h"
#include "unit.h"

/* Tests the decoding of entries in the platform's store and of engine
   reports.  */

#define LONG_ENTRY_READS 4
#define VALUE_MAX_BYTES  (1U << 20)
/* Linear work takes some tens of milliseconds.  */
#define CPU_MAX_S 2.0

static struct rte_config *
read_config (const char *text, char **error_text)
{
  GError *error = NULL;
  struct rte_config *config
      = pf_protocol ()->read_config (text, strlen (text), &error);

  *error_text = error == NULL ? NULL : g_strdup (error->message);
  g_clear_error (&error);
  return config;
}

#define LIMITS                                                                \
  "\"Limits\":{\"MaxHeaderBytes\":100,\"MaxBodyBytes\":200,"                  \
  "\"HeaderTimeoutMs\":300,\"IdleTimeoutMs\":400}"
#define ROUTE(rest)                                                           \
  "{\"Name\":\"r\",\"Host\":\"h\",\"PathPrefix\":\"/p/\",\"TimeoutMs\":1000," \
  "\"TargetLatencyMs\":100,\"Priority\":2,\"MaxAttempts\":3," rest "}"

#define CONFIG(route, engine)                                                 \
  "{\"Version\":1,\"Routes\":[" ROUTE (                                       \
      route) "],\"Services\":[{\"Name\":\"a\",\"MaxConns\":1,"                \
             "\"Engine\":" engine "}]," LIMITS "}"

static void
test_config (void)
{
  char *error_text;
  const char *text = "{\"Version\":9,\"New\":{},\"Routes\":[" ROUTE (
      "\"Kind\":\"streaming\",\"Resumable\":true,\"Sticky\":true,"
      "\"GapTargetMs\":300,\"TrafficSplit\":[{\"Service\":\"a\","
      "\"Weight\":90},{\"Service\":\"b\",\"Weight\":10}]") "],"
                                                           "\"Services\":[{"
                                                           "\"Name\":\"a\","
                                                           "\"MaxConns\":5,"
                                                           "\"Engine\":{"
                                                           "\"Slots\":64,"
                                                           "\"WeightsMb\":"
                                                           "230000.0,"
                                                           "\"AdapterSlots\":"
                                                           "8,\"LoadsPerS\":3."
                                                           "1,"
                                                           "\"Models\":[{"
                                                           "\"Name\":\"m\","
                                                           "\"WeightsMb\":"
                                                           "65099.99999,"
                                                           "\"LoadTimeS\":6.0,"
                                                           "\"Adapters\":2,"
                                                           "\"AdapterSizeMb\":"
                                                           "12.0,"
                                                           "\"WarmS\":0.63,"
                                                           "\"DiskS\":0.84}]}}"
                                                           "]," LIMITS "}";
  struct rte_config *config = read_config (text, &error_text);
  const struct rte_route *route;
  const struct rte_service *service;
  const struct rte_model *model;

  CU_ASSERT_PTR_NULL (error_text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  if (config == NULL)
    return;
  CU_ASSERT_EQUAL (config->version, 9);
  CU_ASSERT_EQUAL (config->idle_timeout_ms, 400);
  route = rte_match (config, "h", "/p/x");
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  if (route == NULL)
    return;
  CU_ASSERT_EQUAL (route->kind, RTE_STREAM);
  CU_ASSERT_TRUE (rte_may_retry (route));
  CU_ASSERT_EQUAL (route->attempts_max, 3);
  CU_ASSERT_EQUAL (route->targets->len, 2);
  service = rte_service (config, "a");
  CU_ASSERT_PTR_NOT_NULL_FATAL (service);
  if (service == NULL)
    return;
  CU_ASSERT_EQUAL (service->adapter_slots, 8);
  model = rte_model (service, "m");
  CU_ASSERT_PTR_NOT_NULL_FATAL (model);
  if (model == NULL)
    return;
  /* Sizes are rounded up, so that memory is not overcommitted.  */
  CU_ASSERT_EQUAL (model->weights_mb, 65100);
  CU_ASSERT_EQUAL (model->store_ms, 6000);
  CU_ASSERT_EQUAL (model->disk_ms, 840);
  rte_config_unref (config);
}

/* Guards against accepting a configuration with a missing field or a field of
   the wrong type or out of range, which would replace the valid configuration
   in force.  The error must name the field.  */
static void
test_invalid_config (void)
{
  static const struct
  {
    const char *text;
    const char *error_text;
  } cases[] = {
    { "{\"Version\":1,\"Routes\":[],\"Services\":[]}", "MaxHeaderBytes" },
    { "{\"Version\":\"1\",\"Routes\":[],\"Services\":[]," LIMITS "}",
      "Version" },
    { "{\"Version\":1,\"Routes\":[" ROUTE (
          "\"Kind\":5,\"Service\":\"a\"") "],\"Services\":[]," LIMITS "}",
      "Kind" },
    { "{\"Version\":1,\"Routes\":{},\"Services\":[]," LIMITS "}", "Routes" },
    { "{\"Version\":1", "line 1" },
    { "", "line 1" },
    { "null", "line 1" },
    { CONFIG ("\"Kind\":\"streaming\",\"Service\":\"a\","
              "\"GapTargetMs\":1e300",
              "{}"),
      "GapTargetMs" },
    { CONFIG ("\"Kind\":\"streaming\",\"TrafficSplit\":[{\"Service\":"
              "\"a\",\"Weight\":4294967296}]",
              "{}"),
      "Weight" },
    { CONFIG ("\"Kind\":\"streaming\",\"Service\":\"a\"",
              "{\"Models\":[],\"Slots\":1,\"WeightsMb\":-1}"),
      "WeightsMb" },
    { CONFIG ("\"Kind\":\"streaming\",\"Service\":\"a\"",
              "{\"Models\":[],\"Slots\":1,\"WeightsMb\":1,"
              "\"LoadsPerS\":Infinity}"),
      "LoadsPerS" },
    { CONFIG ("\"Kind\":\"streaming\",\"Service\":\"a\"",
              "{\"Models\":[{\"Name\":\"m\",\"WeightsMb\":1,"
              "\"AdapterSizeMb\":0,\"Adapters\":0,\"LoadTimeS\":1e300}],"
              "\"Slots\":1,\"WeightsMb\":1}"),
      "LoadTimeS" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *error_text;

      CU_ASSERT_PTR_NULL (read_config (cases[i].text, &error_text));
      CU_ASSERT_PTR_NOT_NULL_FATAL (error_text);
      if (error_text == NULL)
        return;
      CU_ASSERT_PTR_NOT_NULL (strstr (error_text, cases[i].error_text));
      g_free (error_text);
    }
}

/* Guards against retries on routes of an unknown kind.  */
static void
test_unknown_kind (void)
{
  char *error_text;
  struct rte_config *config = read_config (
      "{\"Version\":1,\"Routes\":[" ROUTE (
          "\"Kind\":\"new\",\"Service\":\"a\"") "],"
                                                "\"Services\":[]," LIMITS "}",
      &error_text);

  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  if (config == NULL)
    return;
  CU_ASSERT_FALSE (rte_may_retry (rte_match (config, "h", "/p/")));
  rte_config_unref (config);
}

static struct flt_entry *
read_entry (const char *text)
{
  GError *error = NULL;
  struct flt_entry *entry
      = pf_protocol ()->read_entry ("e", text, strlen (text), &error);

  CU_ASSERT_EQUAL (entry == NULL, error != NULL);
  g_clear_error (&error);
  return entry;
}

#define ENTRY(state, rest)                                                    \
  "{\"Service\":\"s\",\"Address\":\"1.2.3.4:5\",\"Zone\":\"z\",\"Version\":"  \
  "\"v\",\"Slots\":4,\"State\":\"" state "\",\"Seq\":7" rest "}"

static const char *const invalid_entries[]
    = { ENTRY ("asleep", ""),
        "[]",
        "{}",
        "null",
        ENTRY ("ready", ",\"Slots\":4294967296"),
        ENTRY ("ready", ",\"Slots\":99999999999999999999"),
        ENTRY ("draining", ",\"RemainingMs\":1e300"),
        ENTRY ("draining", ",\"RemainingMs\":-1"),
        ENTRY ("draining", ",\"RemainingMs\":NaN"),
        ENTRY ("draining", ",\"RemainingMs\":1e999"),
        "{\"Service\":\"s\"}",
        ENTRY ("ready", ",\"Models\":5"),
        ENTRY ("ready", ",\"Incoming\":5,\"Models\":[]"),
        ENTRY ("draining", ",\"RemainingMs\":\"1\""),
        "\xff\xfe",
        "{\"Service\":\"s\",\"Address\":\"host\",\"Zone\":\"z\",\"Slots\":4,"
        "\"State\":\"ready\"}" };

/* Guards against accepting invalid entries as endpoints, and against using the
   Seq of an entry as the number of orders, which only reports give.  */
static void
test_entry (void)
{
  struct flt_entry *entry
      = read_entry (ENTRY ("ready", ",\"born\":12,\"Models\":[{\"Name\":\"m\","
                                    "\"Version\":2,\"Adapters\":[\"a1\"]}],"
                                    "\"Available\":{\"InMemory\":[],"
                                    "\"OnDisk\":[\"m\",\"n\"]}"));

  CU_ASSERT_PTR_NOT_NULL_FATAL (entry);
  if (entry == NULL)
    return;
  CU_ASSERT_EQUAL (entry->started_ms, 12);
  CU_ASSERT_EQUAL (entry->weights.orders, 0);
  CU_ASSERT_EQUAL (entry->weights.on_disk->len, 2);
  CU_ASSERT_TRUE (
      flt_model_has (flt_weights_find (&entry->weights, "m"), "a1"));
  flt_entry_free (entry);
  entry = read_entry (ENTRY ("draining", ",\"RemainingMs\":1600"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (entry);
  if (entry == NULL)
    return;
  CU_ASSERT_TRUE (entry->leaving);
  CU_ASSERT_EQUAL (entry->leaves_in_ms, 1600);
  flt_entry_free (entry);
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_entries); i++)
    CU_ASSERT_PTR_NULL (read_entry (invalid_entries[i]));
}

/* An endpoint writes its entry every second; only what routing depends on may
   count as a change.  */
static void
test_condense (void)
{
  static const struct
  {
    const char *a;
    const char *b;
    bool same;
  } cases[] = {
    { ENTRY ("ready", ",\"Seq\":4,\"ColdLeftMs\":0"),
      ENTRY ("ready", ",\"Seq\":5,\"ColdLeftMs\":9"), true },
    { ENTRY ("ready", ",\"Available\":{\"OnDisk\":[\"m\"]}"),
      ENTRY ("ready", ",\"Available\":{\"OnDisk\":[]}"), true },
    { ENTRY ("ready", ""), ENTRY ("draining", ""), false },
    { ENTRY ("ready", ",\"born\":1"), ENTRY ("ready", ",\"born\":2"), false },
    { ENTRY ("ready", ",\"Models\":[]"),
      ENTRY ("ready", ",\"Models\":[{\"Name\":\"m\",\"Version\":1}]"), false },
    { ENTRY ("ready", ""), ENTRY ("ready", ",\"Note\":{\"n\":[1]}"), true },
    { ENTRY ("ready", ",\"born\":1,\"Models\":[]"),
      ENTRY ("ready", ",\"Models\":[],\"born\":1"), true },
    { "no entry", "[]", false },
    { "null", ENTRY ("ready", ",\"Incoming\":5,\"Models\":[]"), false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *a = g_string_new (NULL);
      GString *b = g_string_new (NULL);

      pf_protocol ()->condense_entry (cases[i].a, strlen (cases[i].a), a);
      pf_protocol ()->condense_entry (cases[i].b, strlen (cases[i].b), b);
      CU_ASSERT_EQUAL (g_string_equal (a, b), cases[i].same);
      g_string_free (a, TRUE);
      g_string_free (b, TRUE);
    }
}

/* Guards against relaying an invalid entry as a valid one: the invalid field
   may be one that is left out.  */
static void
test_condense_invalid (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_entries); i++)
    {
      const char *text = invalid_entries[i];
      GString *out = g_string_new (NULL);

      pf_protocol ()->condense_entry (text, strlen (text), out);
      CU_ASSERT_PTR_NULL (read_entry (out->str));
      g_string_free (out, TRUE);
    }
}

static void
test_report (void)
{
  const char *text
      = "{\"Stage\":\"x\",\"Models\":[{\"Name\":\"m\",\"Version\":1,"
        "\"Adapters\":[]}],\"Busy\":true,\"Seq\":3,\"Incoming\":"
        "[\"m/a2@1\"]}";
  struct flt_weights weights;
  GError *error = NULL;

  flt_weights_init (&weights);
  CU_ASSERT_TRUE (
      pf_protocol ()->read_report (text, strlen (text), &weights, &error));
  CU_ASSERT_EQUAL (weights.orders, 3);
  CU_ASSERT_TRUE (weights.busy);
  CU_ASSERT_EQUAL (weights.incoming->len, 1);
  CU_ASSERT_STRING_EQUAL (g_ptr_array_index (weights.incoming, 0), "m/a2");
  flt_weights_clear (&weights);
  flt_weights_init (&weights);
  CU_ASSERT_FALSE (
      pf_protocol ()->read_report ("{\"Seq\":1}", 9, &weights, &error));
  g_clear_error (&error);
  CU_ASSERT_FALSE (pf_protocol ()->read_report ("null", 4, &weights, &error));
  CU_ASSERT_PTR_NOT_NULL (error);
  g_clear_error (&error);
  flt_weights_clear (&weights);
}

/* Return an entry with SLOTS and COUNT models, to be freed with g_free.  */
static char *
long_entry (const char *slots, uint32_t count)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "{\"Service\":\"s\",\"Address\":\"127.0.0.1:9\","
                   "\"Zone\":\"z\",\"Slots\":%s,\"State\":\"ready\","
                   "\"Models\":[",
                   slots);
  for (uint32_t i = 0; i < count; i++)
    g_string_append_printf (text, "%s{\"Name\":\"m%u\",\"Version\":1}",
                            i == 0 ? "" : ",", i);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

/* Guards against an instance that answers nobody for seconds because another
   writer's entry names as many models as fit into a value, valid or not, and
   against the refusal of a long one that an engine may write.  */
static void
test_long_entries (void)
{
  static const struct
  {
    const char *slots;
    uint32_t models;
    bool valid;
  } cases[] = { { "8", 1000, true },
                { "8", 37000, false },
                { "\"8\"", 37000, false } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = long_entry (cases[i].slots, cases[i].models);
      double start_s = (double)clock () / CLOCKS_PER_SEC;
      struct flt_entry *entry = NULL;

      for (int j = 0; j < LONG_ENTRY_READS; j++)
        {
          flt_entry_free (entry);
          entry = pf_protocol ()->read_entry ("e", text, strlen (text), NULL);
        }
      CU_ASSERT_EQUAL (entry != NULL, cases[i].valid);
      CU_ASSERT_TRUE ((double)clock () / CLOCKS_PER_SEC - start_s < CPU_MAX_S);
      flt_entry_free (entry);
      g_free (text);
    }
}

/* Guards against a process that runs out of memory because of a text that
   takes hundreds of times its size when it is parsed.  */
static void
test_many_values (void)
{
  static const char *const units[] = { "{},", "[],", "0," };
  GString *text = g_string_new ("{\"x\":[");
  struct flt_weights weights;
  GError *error = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (units); i++)
    {
      g_string_truncate (text, strlen ("{\"x\":["));
      while (text->len < VALUE_MAX_BYTES)
        g_string_append (text, units[i]);
      g_string_append (text, "0]}");
      flt_weights_init (&weights);
      CU_ASSERT_FALSE (pf_protocol ()->read_report (text->str, text->len,
                                                    &weights, &error));
      CU_ASSERT_PTR_NOT_NULL_FATAL (error);
      if (error == NULL)
        return;
      CU_ASSERT_EQUAL (strstr (error->message, "too many values") != NULL,
                       units[i][0] != '0');
      g_clear_error (&error);
      flt_weights_clear (&weights);
    }
  g_string_free (text, TRUE);
}

static void
test_order (void)
{
  struct prt_order order = { .kind = PRT_LOAD,
                             .model = "m",
                             .adapter = "a1",
                             .holder = "i1",
                             .fence = 41,
                             .orders = 2 };
  char *text = pf_protocol ()->write_order (&order);

  CU_ASSERT_STRING_EQUAL (
      text, "{\"Op\":\"model_load\",\"Model\":\"m\",\"Adapter\":\"a1\","
            "\"Precondition\":2,\"Holder\":\"i1\",\"Fence\":41}");
  g_free (text);
  CU_ASSERT_EQUAL (pf_protocol ()->read_order (202), PRT_ACCEPTED);
  CU_ASSERT_EQUAL (pf_protocol ()->read_order (409), PRT_BUSY);
  CU_ASSERT_EQUAL (pf_protocol ()->read_order (421), PRT_REFUSED);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "configuration", test_config },
          { "invalid configuration", test_invalid_config },
          { "unknown kind", test_unknown_kind },
          { "entry", test_entry },
          { "condensed entry", test_condense },
          { "condensed invalid entry", test_condense_invalid },
          { "report", test_report },
          { "long entries", test_long_entries },
          { "many values", test_many_values },
          { "order", test_order },
          { NULL, NULL } };

  return unit_main ("pf", tests);
}
