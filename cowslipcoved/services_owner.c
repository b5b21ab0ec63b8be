#include <string.h>

#include "mem_record.h"
#include "peers.h"
#include "services_impl.h"

/* Half of what a name in a message may hold, without the slash.  */
#define CD_OWNER_CHARS ((COWSLIP_NAME_MAX - 1) / 2)

/* Return the name under which an instance with SETTINGS owns claims,
   "ZONE/INSTANCE", which is also the end of its member record's key.  Free it
   with g_free.  */
char *
cd_owner_name (const struct set_settings *settings)
{
  return g_strdup_printf ("%.*s/%.*s", CD_OWNER_CHARS, settings->zone,
                          CD_OWNER_CHARS, settings->instance);
}

static const struct mem_member *
cd_owner_member (const struct cd_daemon *daemon, const char *owner)
{
  const struct mem_table *members = cd_members (daemon);
  const char *slash = strchr (owner, '/');
  const struct mem_member *member;

  if (members == NULL || slash == NULL)
    return NULL;
  member = mem_find (members, slash + 1);
  if (member == NULL || strlen (member->zone) != (size_t)(slash - owner)
      || strncmp (member->zone, owner, (size_t)(slash - owner)) != 0)
    return NULL;
  return member;
}

/* Return whether OWNER is known to be alive in INCARNATION.  */
bool
cd_act_is_owner_alive (void *context, const char *owner, uint64_t incarnation)
{
  const struct cd_call *call = context;
  const struct mem_member *member
      = cd_owner_member (call->config.daemon, owner);

  if (call->is_owner_recorded)
    return true;
  return member != NULL && member->incarnation == incarnation
         && (member == mem_self (cd_members (call->config.daemon))
             || member->recorded || member->reachable);
}

static void
cd_owner_found (void *arg, const struct kv_result *result)
{
  struct cd_call *call = arg;
  struct mem_member *record = NULL;

  if (result->outcome == KV_OK && result->pair_count == 1)
    record = mem_record_parse (result->pairs[0].value,
                               result->pairs[0].value_bytes);
  call->is_owner_recorded
      = record != NULL && record->incarnation == call->held.owner_incarnation;
  if (record != NULL)
    mem_member_free (record);
  clm_call_claimed (call->machine, &call->held);
}

/* Read the member record of the claim's owner that REPLY names, and go on with
   the call then.  An instance knows the members of its own zone, but a caller
   may repeat its call in another one.  */
void
cd_owner_read (struct cd_call *call, const cs_claim_reply *reply)
{
  const struct cd_daemon *daemon = call->config.daemon;
  char *key;

  call->held = *reply;
  call->held.owner = g_strdup (reply->owner);
  call->held.content_type = NULL;
  memset (&call->held.body, 0, sizeof call->held.body);
  key = g_strdup_printf ("cowslip/%s/members/%s",
                         daemon->settings->environment, reply->owner);
  kv_get (&daemon->kv, key, cd_owner_found, call);
  g_free (key);
}
