#include "target.h"

static void
target_add_separator (GString *text, uint32_t index)
{
  g_string_append (text, index == 0 ? "\n  " : ",\n  ");
}

static void
target_add_pool (const struct target *target, GString *text)
{
  g_string_append (text, " \"pools\": {\"p\": {\"memory_bytes\": 80000000000, "
                         "\"batch\": 64, \"endpoints\": [");
  for (uint32_t i = 0; i < TARGET_ENDPOINTS; i++)
    {
      uint32_t host = target->endpoints[i] * TARGET_ENDPOINTS + i;

      target_add_separator (text, i);
      g_string_append_printf (
          text, "{\"address\": \"10.%u.%u.%u:8000\", \"zone\": \"zone-%u\"}",
          host >> 16U, (host >> 8U) & 255U, host & 255U, i % TARGET_ZONES);
    }
  g_string_append (text, "]}},\n");
}

static void
target_add_models (const struct target *target, GString *text)
{
  g_string_append (text, " \"models\": {");
  for (uint32_t i = 0; i < TARGET_MODELS; i++)
    {
      target_add_separator (text, i);
      g_string_append_printf (
          text,
          "\"model-%u\": {\"pool\": \"p\", \"class\": \"c\", \"version\": "
          "\"1.%u\", \"bytes\": 16000000000, \"adapter_bytes\": 2000000000, "
          "\"replicas\": {",
          i, target->models[i]);
      for (uint32_t zone = 0; zone < TARGET_ZONES; zone++)
        g_string_append_printf (text, "%s\"zone-%u\": %u",
                                zone == 0 ? "" : ", ", zone,
                                1 + target->models[i]);
      g_string_append (text, "}}");
    }
  g_string_append (text, "},\n");
}

/* Return the document text of TARGET, to be freed with g_free.  */
char *
target_text (const struct target *target)
{
  GString *text
      = g_string_new ("{\"name\": \"e\",\n \"classes\": {\"c\": "
                      "{\"deadline_ms\": 1000, \"priority\": 1}},\n");

  target_add_pool (target, text);
  target_add_models (target, text);
  g_string_append (text, " \"adapters\": {");
  for (uint32_t i = 0; i < TARGET_ADAPTERS; i++)
    {
      target_add_separator (text, i);
      g_string_append_printf (text,
                              "\"adapter-%u\": {\"model\": \"model-%u\", "
                              "\"version\": \"1.%u\", \"bytes\": 50000000}",
                              i, i % TARGET_MODELS, target->adapters[i]);
    }
  g_string_append (text, "}}\n");
  return g_string_free (text, FALSE);
}

/* Apply change STEP.  The kinds of change alternate: a new version of an
   adapter, the replacement of an endpoint, and new replica counts of a
   model.  */
void
target_change (struct target *target, uint32_t step)
{
  if (step % 3 == 0)
    target->adapters[step * 7 % TARGET_ADAPTERS]++;
  else if (step % 3 == 1)
    target->endpoints[step * 11 % TARGET_ENDPOINTS]++;
  else
    target->models[step * 5 % TARGET_MODELS]++;
}
