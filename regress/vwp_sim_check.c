#include <stdio.h>
#include <stdlib.h>

#include "vwp_sim_impl.h"

#define STATE_BITS 3
#define READY_TOLERANCE_US                                                    \
  202000 /* for drift that is not pushed, and rounding */

/* Record the failure if PASSED is false, and print the first one of a run.  */
void
vwp_sim_check (struct sim *sim, bool passed, const char *what,
               const char *where)
{
  if (passed)
    return;
  if (sim->passed)
    printf ("seed %lu, %lu ms: %s, %s\n", (unsigned long)sim->seed,
            (unsigned long)(tm_now_us (sim->tm) / MS), what, where);
  sim->passed = false;
}

static uint64_t
state_bits (uint32_t k, enum vw_state state)
{
  return ((uint64_t)state + 1) << (k * STATE_BITS);
}

/* Return the states of all listed models.  */
uint64_t
vwp_sim_states (const struct sim *sim)
{
  uint64_t states = 0;

  for (uint32_t k = 0; k < SLOTS; k++)
    if (sim->slots[k].listed)
      states |= state_bits (k, sim->slots[k].state);
  return states;
}

static uint64_t
view_states (const struct vw_view *view)
{
  uint64_t states = 0;

  for (guint i = 0; i < view->replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (view->replicas, i);

      states
          |= state_bits ((uint32_t)strtoul (r->model + 1, NULL, 10), r->state);
    }
  return states;
}

static void
check_quiesced (struct sim *sim, const struct peer *peer)
{
  for (uint32_t k = 0; k < SLOTS; k++)
    {
      const struct slot *slot = &sim->slots[k];

      if (peer->quiesced[k] == 0 || peer->quiesced[k] != slot->changed
          || slot->state != VW_QUIESCING)
        continue;
      vwp_sim_check (sim,
                     vw_is_quiesced (peer->installed, sim->fence, 0,
                                     slot->name, slot->name),
                     "uses a quiesced replica", peer->name);
    }
}

/* Check the view that PEER has just installed.  */
void
vwp_sim_check_view (struct sim *sim, const struct peer *peer)
{
  const struct vw_view *installed = peer->installed;

  check_quiesced (sim, peer);
  if (installed->fence == sim->fence)
    vwp_sim_check (sim,
                   view_states (installed) == sim->states[installed->sequence],
                   "view differs from the controller's", peer->name);
}

static uint32_t
changed_since (const struct sim *sim, uint64_t sequence)
{
  uint32_t count = 0;

  for (uint32_t k = 0; k < SLOTS; k++)
    count += sim->slots[k].changed > sequence;
  return count;
}

/* Check that UPDATE for PEER contains all necessary changes and no others.  */
void
vwp_sim_check_update (struct sim *sim, const struct peer *peer,
                      const struct vw_update *update)
{
  uint32_t listed_count = 0;
  uint32_t entry_count = update->view->replicas->len + update->removed->len;

  for (uint32_t k = 0; k < SLOTS; k++)
    listed_count += sim->slots[k].listed;
  if (update->base > 0)
    vwp_sim_check (sim, entry_count == changed_since (sim, update->base),
                   "update does not match the changed replicas", peer->name);
  else
    vwp_sim_check (sim,
                   peer->acked_fence != sim->fence
                       || changed_since (sim, peer->acked_sequence)
                              > listed_count,
                   "unnecessary full view", peer->name);
}

/* Check that PEER has the newest view and that its ready times are accurate.
 */
void
vwp_sim_check_end (struct sim *sim, const struct peer *peer)
{
  const struct vw_view *installed = peer->installed;

  vwp_sim_check (sim,
                 installed != NULL && installed->fence == sim->fence
                     && view_states (installed) == vwp_sim_states (sim),
                 "does not have the newest view", peer->name);
  for (guint i = 0; installed != NULL && i < installed->replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (installed->replicas, i);
      const struct slot *slot = &sim->slots[strtoul (r->model + 1, NULL, 10)];

      vwp_sim_check (sim,
                     llabs ((long long)(r->ready_us - slot->ready_us))
                         <= READY_TOLERANCE_US,
                     "inaccurate ready time", peer->name);
    }
}
