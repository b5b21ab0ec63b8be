#include <string.h>

#include "lg.h"
#include "pf_store_fixture.h"

#define PFS_WAIT_TIMEOUT_US 4000000
#define PFS_RESPONSES_MAX   8

uv_loop_t *pfs_loop;
struct tm_uv pfs_clock;
struct wire_endpoint *pfs_peer;
static struct pf_store *store;
struct kv_store pfs_kv;

struct pfs_observed pfs_observed;

/* Let the store respond with RESPONSES, one for each request, and forget what
   was observed.  */
void
pfs_set_responses (const struct pfs_response *responses, size_t count)
{
  static struct wire_script scripts[PFS_RESPONSES_MAX];
  static char texts[PFS_RESPONSES_MAX][256];
  static gsl_rng *random;
  static struct ctr_set *counters;
  static struct http_client *client;

  memset (&pfs_observed, 0, sizeof pfs_observed);
  if (pfs_loop == NULL)
    {
      char address[32];

      lg_set_threshold (LG_ERR);
      pfs_loop = uv_default_loop ();
      tm_uv_start (&pfs_clock, pfs_loop);
      random = gsl_rng_alloc (gsl_rng_mt19937);
      counters = ctr_new ();
      client = http_client_new (pfs_loop, pfs_clock.service);
      pfs_peer = wire_endpoint_new (pfs_loop, "none");
      g_snprintf (address, sizeof address, "127.0.0.1:%u",
                  wire_endpoint_port (pfs_peer));
      store = pf_store_new (client, pfs_clock.service, counters, address,
                            random);
      pfs_kv = pf_store_kv (store);
    }
  for (size_t i = 0; i < count; i++)
    {
      g_snprintf (texts[i], sizeof texts[i],
                  "HTTP/1.1 %d X\r\n%s%s%sContent-Length: %zu\r\n\r\n%s",
                  responses[i].status,
                  responses[i].era == NULL ? "" : "Store-Era: ",
                  responses[i].era == NULL ? "" : responses[i].era,
                  responses[i].era == NULL ? "" : "\r\n",
                  responses[i].body == NULL ? 0 : strlen (responses[i].body),
                  responses[i].body == NULL ? "" : responses[i].body);
      scripts[i] = (struct wire_script){
        .bytes = responses[i].status == PFS_NO_RESPONSE ? NULL
                 : responses[i].status == 0             ? ""
                                                        : texts[i],
        .end_action = responses[i].status == 0 ? WIRE_CLOSE : WIRE_KEEP
      };
    }
  wire_endpoint_set_scripts (pfs_peer, scripts, count);
}

/* Run the loop until *COUNT is EXPECTED, for 4 s at most.  */
void
pfs_run_until (const uint32_t *count, uint32_t expected)
{
  uint64_t start_us = tm_now_us (pfs_clock.service);

  while (*count < expected
         && tm_now_us (pfs_clock.service) - start_us < PFS_WAIT_TIMEOUT_US)
    uv_run (pfs_loop, UV_RUN_ONCE);
  CU_ASSERT_TRUE (*count >= expected);
}

/* Record the result of a transaction or read.  */
void
pfs_on_done (void *arg, const struct kv_result *result)
{
  (void)arg;
  pfs_observed.outcome = result->outcome;
  pfs_observed.revision = result->revision;
  pfs_observed.pairs = result->pair_count;
  if (result->pair_count > 0 && result->pairs[0].value != NULL)
    g_strlcpy (pfs_observed.first, result->pairs[0].value,
               sizeof pfs_observed.first);
  pfs_observed.done++;
}

/* Record the result of a call for a lease.  */
void
pfs_on_lease (void *arg, enum kv_outcome outcome, int64_t lease)
{
  (void)arg;
  pfs_observed.outcome = outcome;
  pfs_observed.lease = lease;
  pfs_observed.done++;
}

/* Record a change that a watch has reported.  */
void
pfs_on_change (void *arg, const struct kv_change *change)
{
  (void)arg;
  pfs_observed.changes++;
  pfs_observed.revision = change->revision;
}

/* Record the end of a watch.  */
void
pfs_on_ended (void *arg)
{
  (void)arg;
  pfs_observed.ended++;
}
