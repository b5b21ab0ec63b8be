#include <string.h>

#include "gw_impl.h"
#include "lg.h"

/* In a fleet of at most this many instances all form one group; otherwise each
   availability zone has its own, because bytes between zones are limited.  */
#define GW_RELAY_FLEET_MAX 16
/* Larger values are read from the store: sending one to 60 instances takes
   seconds on a link of 20 Mbit/s.  */
#define GW_RELAY_VALUE_MAX_BYTES (32U << 10)

/* Part of the time by which a configuration must be in force after which it
   may be read again.  The watch and the relay need up to half of it.  */
#define GW_RELAY_READ_SHARE 3

/* Return whether MEMBER is in the group of this instance.  */
bool
gw_in_group (const struct gw *gw, const struct ldr_member *member)
{
  return ldr_members (gw->ldr)->len <= GW_RELAY_FLEET_MAX
         || g_str_equal (member->zone, gw->settings->zone);
}

/* Return whether A ranks before B as a source: the leader, which needs the
   changes first, then the instance with the larger CPU quota.  */
static bool
gw_relay_ranks_before (const struct gw *gw, const struct ldr_member *a,
                       const struct ldr_member *b)
{
  const char *leader = ldr_leader (gw->ldr);
  bool a_leads = g_strcmp0 (a->instance, leader) == 0;
  bool b_leads = g_strcmp0 (b->instance, leader) == 0;

  if (a_leads != b_leads)
    return a_leads;
  if (a->cpu_percent != b->cpu_percent)
    return a->cpu_percent > b->cpu_percent;
  return strcmp (a->instance, b->instance) < 0;
}

/* Update this instance's rank after a change of the members or the leader.  */
void
gw_relay_members_changed (struct gw *gw)
{
  const GPtrArray *members = ldr_members (gw->ldr);
  /* The own record may not have been written yet.  */
  const struct ldr_member self = { .instance = gw->settings->instance,
                                   .cpu_percent = gw->settings->cpu_percent };
  uint32_t rank = 0;

  for (guint i = 0; i < members->len; i++)
    {
      const struct ldr_member *member = g_ptr_array_index (members, i);

      if (gw_in_group (gw, member)
          && gw_relay_ranks_before (gw, member, &self))
        rank++;
    }
  rly_set_rank (gw->relay, rank);
}

static void
gw_relay_send (void *arg, cs_relay *batch)
{
  struct gw *gw = arg;
  const GPtrArray *members = ldr_members (gw->ldr);

  for (guint i = 0; gw->rpc != NULL && i < members->len; i++)
    {
      const struct ldr_member *member = g_ptr_array_index (members, i);

      if (gw_in_group (gw, member)
          && !g_str_equal (member->instance, gw->settings->instance))
        gw_peers_send (gw, member->address, COWSLIP_RELAY,
                       (xdrproc_t)xdr_cs_relay, batch);
    }
  ctr_add (gw->counters, "relay_batches_sent_total", 1);
}

static bool
gw_relay_condense (void *arg, const char *key, const char *value, size_t bytes,
                   GString *out)
{
  const struct gw *gw = arg;

  if (g_str_has_prefix (key, gw->protocol->keys.endpoint_prefix))
    gw->protocol->condense_entry (value, bytes, out);
  else
    g_string_append_len (out, value, (gssize)bytes);
  return out->len <= GW_RELAY_VALUE_MAX_BYTES;
}

static void
gw_relay_role_changed (void *arg, enum rly_role role)
{
  struct gw *gw = arg;

  lg_write (LG_RELAY_ROLE, "role=%d leader=%s members=%u", role,
            ldr_leader (gw->ldr) == NULL ? "-" : ldr_leader (gw->ldr),
            ldr_members (gw->ldr)->len);
}

static void
gw_relay_diverged (void *arg, const char *prefix)
{
  struct gw *gw = arg;

  ctr_add (gw->counters, "relay_diverged_total", 1);
  lg_write (LG_RELAY_DIVERGED, "prefix=%s", prefix);
}

/* Process BATCH, which ORIGIN has sent.  The members known here may be older
   than those that ORIGIN knows, so it need not be one of them: changes have
   revisions of the store, and older ones are not applied.  */
void
gw_relay_handle (struct gw *gw, const struct rpc_origin *origin,
                 const cs_relay *batch)
{
  if (ldr_find_member (gw->ldr, origin->instance) == NULL)
    ctr_add (gw->counters, "relay_batches_unlisted_total", 1);
  rly_receive (gw->relay, batch);
}

/* Create the relay, through which all watches of the store go.  */
void
gw_relay_start (struct gw *gw)
{
  static const struct rly_callbacks callbacks
      = { gw_relay_send, gw_relay_condense, gw_relay_role_changed,
          gw_relay_diverged };
  /* The election compares the revisions of its keys.  */
  const struct rly_prefix prefixes[]
      = { { gw->protocol->keys.config, false },
          { gw->protocol->keys.endpoint_prefix, false },
          { ldr_key_prefix (), true },
          { NULL, false } };
  struct rly_config config
      = { .kv = gw->store,
          .tm = gw->tm,
          .prefixes = prefixes,
          .read_interval_ms
          = gw->settings->config_apply_ms / GW_RELAY_READ_SHARE };

  gw->relay = rly_new (&config, &callbacks, gw);
  gw->kv = rly_store (gw->relay);
}
