#include "ldr_impl.h"

/* The leases of an instance.  */

static void
ldr_grant (struct ldr *ldr, struct ldr_lease *lease, uint32_t ttl_s,
           kv_lease_done done)
{
  lease->granting = true;
  lease->sent_us = tm_now_us (ldr->config.tm);
  ldr->calls_in_flight++;
  ldr->config.kv.methods->lease_grant (ldr->config.kv.context, ttl_s, done,
                                       ldr);
}

static void
ldr_renew (struct ldr *ldr, struct ldr_lease *lease, uint32_t interval_ms,
           kv_lease_done done)
{
  lease->renewing = true;
  lease->sent_us = tm_now_us (ldr->config.tm);
  lease->next_renew_us = lease->sent_us + interval_ms * LDR_US_PER_MS;
  ldr->calls_in_flight++;
  ldr->config.kv.methods->lease_renew (ldr->config.kv.context, lease->id, done,
                                       ldr);
}

/* Handle the response to a grant of LEASE.  Return whether it was granted.  */
static bool
ldr_granted (struct ldr *ldr, struct ldr_lease *lease, uint32_t interval_ms,
             enum kv_outcome outcome, int64_t id)
{
  lease->granting = false;
  if (outcome != KV_OK)
    {
      ldr_back_off (ldr);
      return false;
    }
  ldr->failures = 0;
  lease->id = id;
  lease->next_renew_us = lease->sent_us + interval_ms * LDR_US_PER_MS;
  return true;
}

/* Handle the response to a renewal of LEASE.  Return whether LEASE has
   expired.  */
static bool
ldr_renewed (struct ldr *ldr, struct ldr_lease *lease, enum kv_outcome outcome,
             int64_t id)
{
  lease->renewing = false;
  if (outcome == KV_UNKNOWN || outcome == KV_UNAVAILABLE)
    ldr->renew_failed_us = tm_now_us (ldr->config.tm);
  if (outcome != KV_CONFLICT || id != lease->id)
    return false;
  lease->id = 0;
  return true;
}

static void
ldr_member_granted (void *arg, enum kv_outcome outcome, int64_t id)
{
  struct ldr *ldr = arg;

  if (!ldr_call_ended (ldr)
      || !ldr_granted (ldr, &ldr->member_lease, LDR_RENEW_MS, outcome, id))
    return;
  ldr->registered = false;
  ldr_write_due (ldr);
}

static void
ldr_member_renewed (void *arg, enum kv_outcome outcome, int64_t id)
{
  struct ldr *ldr = arg;

  if (ldr_call_ended (ldr)
      && ldr_renewed (ldr, &ldr->member_lease, outcome, id))
    ldr->registered = false;
}

/* Get the lease for the member record, or renew it when that is due.  */
void
ldr_lease_maintain_member (struct ldr *ldr)
{
  struct ldr_lease *lease = &ldr->member_lease;
  uint64_t now_us = tm_now_us (ldr->config.tm);

  if (ldr->resigned || lease->granting || lease->renewing)
    return;
  if (lease->id == 0 && now_us >= ldr->retry_at_us)
    ldr_grant (ldr, lease, LDR_TTL_S, ldr_member_granted);
  else if (lease->id != 0 && now_us >= lease->next_renew_us)
    ldr_renew (ldr, lease, LDR_RENEW_MS, ldr_member_renewed);
}

static void
ldr_leader_granted (void *arg, enum kv_outcome outcome, int64_t id)
{
  struct ldr *ldr = arg;

  if (!ldr_call_ended (ldr)
      || !ldr_granted (ldr, &ldr->leader_lease, LDR_LEADER_RENEW_MS, outcome,
                       id))
    return;
  ldr->confirmed_until_us
      = ldr->leader_lease.sent_us + LDR_CONFIRMED_MS * LDR_US_PER_MS;
  ldr_write_due (ldr);
}

static void
ldr_leader_renewed (void *arg, enum kv_outcome outcome, int64_t id)
{
  struct ldr *ldr = arg;

  if (ldr_call_ended (ldr)
      && ldr_renewed (ldr, &ldr->leader_lease, outcome, id))
    ldr_update_role (ldr);
}

/* Request the lease for the leader record.  */
void
ldr_lease_grant_leader (struct ldr *ldr)
{
  if (!ldr->leader_lease.granting)
    ldr_grant (ldr, &ldr->leader_lease, LDR_LEADER_TTL_S, ldr_leader_granted);
}

/* Renew the lease for the leader record when that is due.  An instance that
   does not lead lets it expire, which costs no call.  */
void
ldr_lease_maintain_leader (struct ldr *ldr)
{
  struct ldr_lease *lease = &ldr->leader_lease;

  if (!ldr->resigned && ldr->leading && lease->id != 0 && !lease->renewing
      && tm_now_us (ldr->config.tm) >= lease->next_renew_us)
    ldr_renew (ldr, lease, LDR_LEADER_RENEW_MS, ldr_leader_renewed);
}
