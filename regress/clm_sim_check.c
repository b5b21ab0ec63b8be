#include <stdlib.h>

#include "clm_sim_impl.h"

static void
clms_check_record (struct clms *sim, const struct clms_record *record,
                   uint32_t runs_of_key[], uint32_t response_run_of_key[])
{
  uint32_t *first_run = &response_run_of_key[record->key];

  sim->result.not_run += record->not_run;
  for (guint i = 0; record->not_run && i < sim->runs->len; i++)
    if (g_array_index (sim->runs, struct clms_run, i).claim_id
        == record->claim_id)
      clms_violation (sim, "key %u: \"not run\" is false", record->key);
  if (record->run == 0)
    return;
  sim->result.repeats += *first_run != 0;
  if (*first_run != 0 && *first_run != record->run)
    clms_violation (sim, "key %u: responses of runs %u and %u", record->key,
                    *first_run, record->run);
  if (runs_of_key[record->key] == 0)
    clms_violation (sim, "key %u: response without a run", record->key);
  *first_run = record->run;
}

static void
clms_check_runs (struct clms *sim)
{
  uint32_t runs[CLMS_KEYS] = { 0 };
  uint32_t response_runs[CLMS_KEYS] = { 0 };

  sim->result.runs = sim->runs->len;
  for (guint i = 0; i < sim->runs->len; i++)
    if (++runs[g_array_index (sim->runs, struct clms_run, i).key] > 1)
      clms_violation (sim, "key %u ran again",
                      g_array_index (sim->runs, struct clms_run, i).key);
  for (guint i = 0; i < sim->records->len; i++)
    clms_check_record (sim,
                       &g_array_index (sim->records, struct clms_record, i),
                       runs, response_runs);
}

static void
clms_check_instance (struct clms *sim, struct clms_instance *instance)
{
  uint32_t unfinished = clm_submitter_unfinished (instance->submitter);

  if (unfinished > 0)
    clms_violation (sim, "%s: %u completions not written", instance->name,
                    unfinished);
  if (instance->calls->len > 0)
    clms_violation (sim, "%s: %u calls without an end", instance->name,
                    instance->calls->len);
}

/* An open claim whose live owner has no such call would block its key.  */
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

/* Compare the responses to callers and the stored claims with the runs of the
   service.  */
void
clms_check (struct clms *sim)
{
  clms_check_runs (sim);
  for (uint32_t key = 0; key < CLMS_KEYS; key++)
    clms_check_open (sim, key);
  for (size_t i = 0; i < CLMS_INSTANCES; i++)
    clms_check_instance (sim, &sim->instances[i]);
}
