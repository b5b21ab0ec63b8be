#include <stdlib.h>

#include "clm_sim_impl.h"

/* The checker.  */

static void
clms_check_record (struct clms *sim, const struct clms_record *record,
                   uint32_t runs_of_key[], uint32_t answer_of_key[])
{
  uint32_t *first = &answer_of_key[record->key];

  sim->result.not_run += record->not_run;
  for (guint i = 0; record->not_run && i < sim->runs->len; i++)
    if (g_array_index (sim->runs, struct clms_run, i).claim_id
        == record->claim_id)
      clms_violation (sim, "key %u: \"not run\" is false", record->key);
  if (record->run == 0)
    return;
  sim->result.repeats += *first != 0;
  if (*first != 0 && *first != record->run)
    clms_violation (sim, "key %u: answers of runs %u and %u", record->key,
                    *first, record->run);
  if (runs_of_key[record->key] == 0)
    clms_violation (sim, "key %u: answered without a run", record->key);
  *first = record->run;
}

static void
clms_check_runs (struct clms *sim)
{
  uint32_t runs[CLMS_KEYS] = { 0 };
  uint32_t answers[CLMS_KEYS] = { 0 };

  sim->result.runs = sim->runs->len;
  for (guint i = 0; i < sim->runs->len; i++)
    if (++runs[g_array_index (sim->runs, struct clms_run, i).key] > 1)
      clms_violation (sim, "key %u ran again",
                      g_array_index (sim->runs, struct clms_run, i).key);
  for (guint i = 0; i < sim->records->len; i++)
    clms_check_record (sim,
                       &g_array_index (sim->records, struct clms_record, i),
                       runs, answers);
}

static void
clms_check_instance (struct clms *sim, struct clms_instance *instance)
{
  uint32_t left = clm_submitter_unfinished (instance->submitter);

  if (left > 0)
    clms_violation (sim, "%s: %u completions not written", instance->name,
                    left);
  if (instance->calls->len > 0)
    clms_violation (sim, "%s: %u calls without an end", instance->name,
                    instance->calls->len);
}

/* An open claim of a live owner that has no such call would block its key
   although nothing runs.  */
static void
clms_check_open (struct clms *sim, uint32_t key)
{
  char name[32];
  const char *value;
  cs_claim *claim;

  g_snprintf (name, sizeof name, "claims/svc/%u", key);
  value = fake_kv_value (sim->kv, name);
  if (value == NULL)
    return;
  claim = clm_decode (value);
  if (claim->kind == CS_CLAIM_OPEN
      && sim->instances[atoi (claim->owner)].incarnation
             == claim->owner_incarnation)
    clms_violation (sim, "key %u: claim left open", key);
  clm_free (claim);
}

/* Compare what callers were told and what is stored with what the service
   ran.  */
void
clms_check (struct clms *sim)
{
  clms_check_runs (sim);
  for (uint32_t key = 0; key < CLMS_KEYS; key++)
    clms_check_open (sim, key);
  for (size_t i = 0; i < CLMS_INSTANCES; i++)
    clms_check_instance (sim, &sim->instances[i]);
}
