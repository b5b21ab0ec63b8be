#include <inttypes.h>
#include <string.h>

#include "ctr.h"

struct ctr_value
{
  bool gauge;
  int64_t value;
};

struct ctr_set
{
  GTree *values;
  uint64_t refusals[RSN_REFUSAL_COUNT];
  uint64_t retries[RTY_REASON_COUNT];
};

static gint
ctr_compare (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  return strcmp (a, b);
}

static struct ctr_value *
ctr_entry (struct ctr_set *set, const char *name)
{
  struct ctr_value *value = g_tree_lookup (set->values, name);

  if (value != NULL)
    return value;
  value = g_new0 (struct ctr_value, 1);
  g_tree_insert (set->values, g_strdup (name), value);
  return value;
}

/* Return a new set with all refusal and retry counters at zero.  */
struct ctr_set *
ctr_new (void)
{
  struct ctr_set *set = g_new0 (struct ctr_set, 1);

  set->values = g_tree_new_full (ctr_compare, NULL, g_free, g_free);
  return set;
}

void
ctr_free (struct ctr_set *set)
{
  if (set == NULL)
    return;
  g_tree_destroy (set->values);
  g_free (set);
}

/* Add AMOUNT to the counter NAME, which may carry Prometheus labels, as in
   "requests_total{class=\"short\"}".  */
void
ctr_add (struct ctr_set *set, const char *name, uint64_t amount)
{
  ctr_entry (set, name)->value += (int64_t)amount;
}

/* Set the gauge NAME to VALUE.  */
void
ctr_set_gauge (struct ctr_set *set, const char *name, int64_t value)
{
  struct ctr_value *entry = ctr_entry (set, name);

  entry->gauge = true;
  entry->value = value;
}

/* Return the value of the counter NAME, 0 if nothing was added yet.  */
uint64_t
ctr_get (const struct ctr_set *set, const char *name)
{
  const struct ctr_value *value = g_tree_lookup (set->values, name);

  return value == NULL ? 0 : (uint64_t)value->value;
}

/* Count a refusal for REASON.  */
void
ctr_count_refusal (struct ctr_set *set, enum rsn_refusal reason)
{
  set->refusals[reason]++;
}

/* Count a retry for REASON.  */
void
ctr_count_retry (struct ctr_set *set, enum rty_reason reason)
{
  set->retries[reason]++;
}

static gboolean
ctr_print_value (gpointer key, gpointer data, gpointer arg)
{
  const struct ctr_value *value = data;

  g_string_append_printf (arg, "cowslip_%s %" PRId64 "\n", (const char *)key,
                          value->value);
  return FALSE;
}

/* Append all values of SET to OUT in the Prometheus text format.  */
void
ctr_print (const struct ctr_set *set, GString *out)
{
  for (int i = 0; i < RSN_REFUSAL_COUNT; i++)
    g_string_append_printf (
        out, "cowslip_refusals_total{reason=\"%s\"} %" PRIu64 "\n",
        rsn_refusal_text ((enum rsn_refusal)i), set->refusals[i]);
  for (int i = 0; i < RTY_REASON_COUNT; i++)
    g_string_append_printf (
        out, "cowslip_retries_total{reason=\"%s\"} %" PRIu64 "\n",
        rty_reason_text ((enum rty_reason)i), set->retries[i]);
  g_tree_foreach (set->values, ctr_print_value, out);
}
