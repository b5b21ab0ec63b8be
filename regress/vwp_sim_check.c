#include <stdio.h>
#include <stdlib.h>

#include "vwp_sim_impl.h"

#define STATE_BITS 3
#define SLACK_US   202000 /* drift that is not pushed, and rounding */

/* Note and print the first check of a run that is not GOOD.  */
void
vwp_sim_check (struct sim *sim, bool good, const char *what, const char *where)
{
  if (good)
    return;
  if (sim->good)
    printf ("seed %lu, %lu ms: %s, %s\n", (unsigned long)sim->seed,
            (unsigned long)(tm_now_us (sim->tm) / MS), what, where);
  sim->good = false;
}

static uint64_t
state_bits (uint32_t k, enum vw_state state)
{
  return ((uint64_t)state + 1) << (k * STATE_BITS);
}

/* Return the states of all models that are there now.  */
uint64_t
vwp_sim_states (const struct sim *sim)
{
  uint64_t states = 0;

  for (uint32_t k = 0; k < KEYS; k++)
    if (sim->keys[k].there)
      states |= state_bits (k, sim->keys[k].state);
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
check_promises (struct sim *sim, const struct peer *peer)
{
  for (uint32_t k = 0; k < KEYS; k++)
    {
      const struct key *key = &sim->keys[k];

      if (peer->quiet[k] == 0 || peer->quiet[k] != key->changed
          || key->state != VW_QUIESCING)
        continue;
      vwp_sim_check (
          sim,
          vw_is_quiesced (peer->held, sim->fence, 0, key->name, key->name),
          "uses a quiescent replica", peer->name);
    }
}

/* Check the view that PEER has just taken over.  */
void
vwp_sim_check_view (struct sim *sim, const struct peer *peer)
{
  const struct vw_view *held = peer->held;

  check_promises (sim, peer);
  if (held->fence == sim->fence)
    vwp_sim_check (sim, view_states (held) == sim->states[held->sequence],
                   "view differs from the controller's", peer->name);
}

static uint32_t
changed_since (const struct sim *sim, uint64_t sequence)
{
  uint32_t count = 0;

  for (uint32_t k = 0; k < KEYS; k++)
    count += sim->keys[k].changed > sequence;
  return count;
}

/* Check that UPDATE names what PEER needs and no more.  */
void
vwp_sim_check_update (struct sim *sim, const struct peer *peer,
                      const struct vw_update *update)
{
  uint32_t live = 0;
  uint32_t named = update->view->replicas->len + update->removed->len;

  for (uint32_t k = 0; k < KEYS; k++)
    live += sim->keys[k].there;
  if (update->base > 0)
    vwp_sim_check (sim, named == changed_since (sim, update->base),
                   "names other replicas than those changed", peer->name);
  else
    vwp_sim_check (sim,
                   peer->acked_fence != sim->fence
                       || changed_since (sim, peer->acked_sequence) > live,
                   "everything without need", peer->name);
}

/* Check that PEER has the newest view and about the right times.  */
void
vwp_sim_check_end (struct sim *sim, const struct peer *peer)
{
  const struct vw_view *held = peer->held;

  vwp_sim_check (sim,
                 held != NULL && held->fence == sim->fence
                     && view_states (held) == vwp_sim_states (sim),
                 "is not at the newest view", peer->name);
  for (guint i = 0; held != NULL && i < held->replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (held->replicas, i);
      const struct key *key = &sim->keys[strtoul (r->model + 1, NULL, 10)];

      vwp_sim_check (
          sim, llabs ((long long)(r->ready_us - key->ready_us)) <= SLACK_US,
          "time of readiness", peer->name);
    }
}
