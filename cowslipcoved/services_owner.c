#include <string.h>

#include "mem_record.h"
#include "peers.h"
#include "services_impl.h"

/* Half of the maximum length of a name in a message, without the slash.  */
#define CD_OWNER_PART_MAX_CHARS ((COWSLIP_NAME_MAX - 1) / 2)

/* Return the name under which an instance with SETTINGS owns claims:
   "ZONE/INSTANCE", which is also the last part of the key of its member
   record.  Free it with g_free.  */
char *
cd_owner_name (const struct set_settings *settings)
{
  return g_strdup_printf ("%.*s/%.*s", CD_OWNER_PART_MAX_CHARS, settings->zone,
                          CD_OWNER_PART_MAX_CHARS, settings->instance);
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
cd_owner_record_done (void *arg, const struct kv_result *result)
{
  struct cd_call *call = arg;
  struct mem_member *record = NULL;

  if (result->outcome == KV_OK && result->pair_count == 1)
    record = mem_record_parse (result->pairs[0].value,
                               result->pairs[0].value_bytes);
  call->is_owner_recorded
      = record != NULL
        && record->incarnation == call->held_claim.owner_incarnation;
  if (record != NULL)
    mem_member_free (record);
  clm_call_claimed (call->machine, &call->held_claim);
}

/* Read the member record of the owner of the claim in REPLY, then continue the
   call.  The owner may be in another zone, because a caller may repeat its
   call there, and the membership table is complete only for the own zone.  */
void
cd_owner_read (struct cd_call *call, const cs_claim_reply *reply)
{
  const struct cd_daemon *daemon = call->config.daemon;
  char *key;

  call->held_claim = *reply;
  call->held_claim.owner = g_strdup (reply->owner);
  call->held_claim.content_type = NULL;
  memset (&call->held_claim.body, 0, sizeof call->held_claim.body);
  key = g_strdup_printf ("cowslip/%s/members/%s",
                         daemon->settings->environment, reply->owner);
  kv_get (&daemon->kv, key, cd_owner_record_done, call);
  g_free (key);
}
