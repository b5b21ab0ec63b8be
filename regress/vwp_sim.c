#include <string.h>

#include <gsl/gsl_rng.h>

#include "vwp_sim_impl.h"

#define TIMEOUT_MS  1000
#define STEP_MS     30
#define RECOVERY_MS 2100
#define START_US    1000000

/* A push and its reply, or a query whether SLOT is quiesced.  */
struct message
{
  struct sim *sim;
  struct peer *peer;
  struct vw_update *update;
  struct tm_timer arrival;
  struct tm_timer duplicate;
  struct tm_timer reply;
  struct tm_timer timeout;
  uint64_t incarnation;
  uint64_t fence;
  uint64_t id;
  uint32_t slot;
  uint64_t query_sequence;
  uint64_t installed_fence;
  uint64_t installed_sequence;
};

static void
message_free (gpointer data)
{
  struct message *message = data;

  tm_cancel (message->sim->tm, &message->arrival);
  tm_cancel (message->sim->tm, &message->duplicate);
  tm_cancel (message->sim->tm, &message->reply);
  tm_cancel (message->sim->tm, &message->timeout);
  vw_update_free (message->update);
  g_free (message);
}

static uint64_t
random_below (struct sim *sim, uint64_t below)
{
  return gsl_rng_uniform_int (sim->rng, below);
}

static bool
chance (struct sim *sim, uint32_t percent)
{
  return !sim->no_faults && random_below (sim, 100) < percent;
}

static uint64_t
delay_us (struct sim *sim)
{
  return (1 + random_below (sim, chance (sim, 20) ? 700 : 3)) * MS;
}

static void
on_reply (void *arg)
{
  struct message *message = arg;
  struct sim *sim = message->sim;
  struct peer *peer = message->peer;

  tm_cancel (sim->tm, &message->timeout);
  if (message->fence != sim->fence)
    return;
  if (message->incarnation == peer->known_incarnation)
    {
      peer->acked_fence = message->installed_fence;
      peer->acked_sequence = message->installed_sequence;
    }
  vwp_push_done (sim->vwp, peer->name, message->id, true,
                 message->installed_fence, message->installed_sequence);
}

static void
on_timeout (void *arg)
{
  struct message *message = arg;

  tm_cancel (message->sim->tm, &message->reply);
  if (message->fence == message->sim->fence)
    vwp_push_done (message->sim->vwp, message->peer->name, message->id, false,
                   0, 0);
}

static void
deliver (struct message *message)
{
  struct sim *sim = message->sim;
  struct peer *peer = message->peer;
  struct vw_view *view = vw_apply (peer->installed, message->update);

  if (view == NULL)
    {
      sim->totals->rejected
          += vw_is_newer (message->update->view, peer->installed) ? 1 : 0;
      return;
    }
  vwp_sim_check (sim, vw_is_newer (view, peer->installed),
                 "view is older than the previous one", peer->name);
  vw_free (peer->installed);
  peer->installed = view;
  vwp_sim_check_view (sim, peer);
}

static void
on_duplicate (void *arg)
{
  deliver (arg);
}

static void
on_arrival (void *arg)
{
  struct message *message = arg;
  struct sim *sim = message->sim;

  deliver (message);
  if (message->peer->installed != NULL)
    {
      message->installed_fence = message->peer->installed->fence;
      message->installed_sequence = message->peer->installed->sequence;
    }
  if (!chance (sim, 10))
    tm_after (sim->tm, &message->reply, delay_us (sim), on_reply, message);
}

static struct message *
message_new (struct sim *sim, struct peer *peer)
{
  struct message *message = g_new0 (struct message, 1);

  message->sim = sim;
  message->peer = peer;
  message->fence = sim->fence;
  message->incarnation = peer->known_incarnation;
  g_ptr_array_add (sim->messages, message);
  return message;
}

static bool
on_send (void *arg, const char *instance, const struct vw_update *update,
         uint64_t id)
{
  struct sim *sim = arg;
  struct peer *peer = &sim->peers[instance[1] - '0'];
  struct message *message = message_new (sim, peer);
  /* Ready times stay absolute, so that delays do not shift them.  */
  cs_view view = control_encode_update (update, 0);

  vwp_sim_check_update (sim, peer, update);
  sim->totals->pushes++;
  sim->totals->full += update->base == 0;
  message->update = control_decode_update (&view, 0);
  message->id = id;
  g_free (view.replicas.replicas_val);
  g_free (view.removed.removed_val);
  tm_after (sim->tm, &message->timeout, TIMEOUT_MS * MS, on_timeout, message);
  if (!chance (sim, 15))
    tm_after (sim->tm, &message->arrival, delay_us (sim), on_arrival, message);
  if (chance (sim, 15))
    tm_after (sim->tm, &message->duplicate, random_below (sim, 3000) * MS,
              on_duplicate, message);
  return true;
}

static void
on_query (void *arg)
{
  struct message *message = arg;
  struct sim *sim = message->sim;
  const struct slot *slot = &sim->slots[message->slot];

  if (message->fence != sim->fence || slot->changed != message->query_sequence
      || !vw_is_quiesced (message->peer->installed, message->fence,
                          message->query_sequence, slot->name, slot->name))
    return;
  message->peer->quiesced[message->slot] = message->query_sequence;
  sim->totals->quiesced++;
}

static void
query_quiescence (struct sim *sim, uint32_t k)
{
  struct slot *slot = &sim->slots[k];
  struct message *message;

  if (!slot->listed || slot->state != VW_QUIESCING)
    return;
  message = message_new (sim, &sim->peers[random_below (sim, PEERS)]);
  message->slot = k;
  message->query_sequence
      = vwp_changed_sequence (sim->vwp, slot->name, slot->name);
  vwp_sim_check (sim, message->query_sequence == slot->changed,
                 "wrong sequence of a change", slot->name);
  tm_after (sim->tm, &message->arrival, delay_us (sim), on_query, message);
}

static void
publish_view (struct sim *sim)
{
  struct vw_view *view = vw_new ("a", sim->fence, sim->sequence);

  sim->states[sim->sequence] = vwp_sim_states (sim);
  for (uint32_t k = 0; k < SLOTS; k++)
    if (sim->slots[k].listed)
      (void)vw_add (view, sim->slots[k].name, sim->slots[k].name,
                    sim->slots[k].state, sim->slots[k].ready_us);
  vwp_set_view (sim->vwp, view);
  vw_free (view);
}

static void
change_model (struct sim *sim)
{
  struct slot *slot = &sim->slots[random_below (sim, SLOTS)];
  bool listed = random_below (sim, 10) > 0;

  sim->sequence++;
  if (listed && slot->listed)
    slot->state = (slot->state + 1 + random_below (sim, 5)) % 6;
  else if (!listed && !slot->listed)
    return;
  slot->listed = listed;
  slot->changed = sim->sequence;
  slot->ready_us
      = slot->state == VW_LOADING ? tm_now_us (sim->tm) + START_US : 0;
  publish_view (sim);
}

/* Change the estimated ready times by less than the threshold of a push.  */
static void
drift_estimates (struct sim *sim)
{
  for (uint32_t k = 0; k < SLOTS; k++)
    if (sim->slots[k].listed && sim->slots[k].state == VW_LOADING)
      sim->slots[k].ready_us += random_below (sim, 2 * MS);
}

static void
set_members (struct sim *sim)
{
  struct vwp_member members[PEERS];

  for (uint32_t i = 0; i < PEERS; i++)
    {
      struct peer *peer = &sim->peers[i];

      if (peer->known_incarnation != peer->incarnation)
        peer->acked_fence = 0;
      peer->known_incarnation = peer->incarnation;
      members[i] = (struct vwp_member){ peer->name, peer->incarnation, true };
    }
  vwp_set_members (sim->vwp, members, PEERS);
}

static void
restart_controller (struct sim *sim)
{
  static const struct vwp_callbacks callbacks = { on_send };

  if (sim->vwp != NULL)
    vwp_free (sim->vwp);
  sim->vwp = vwp_new (sim->tm, &callbacks, sim);
  sim->fence++;
  sim->sequence = 1;
  for (uint32_t k = 0; k < SLOTS; k++)
    sim->slots[k].changed = 1;
  for (uint32_t i = 0; i < PEERS; i++)
    memset (sim->peers[i].quiesced, 0, sizeof sim->peers[i].quiesced);
  set_members (sim);
  publish_view (sim);
}

static void
restart_peer (struct sim *sim, struct peer *peer)
{
  vw_free (peer->installed);
  peer->installed = NULL;
  peer->incarnation++;
  memset (peer->quiesced, 0, sizeof peer->quiesced);
  if (chance (sim, 50))
    set_members (sim);
}

static void
step (struct sim *sim)
{
  if (chance (sim, 60))
    change_model (sim);
  if (chance (sim, 20))
    drift_estimates (sim);
  for (uint32_t k = 0; k < SLOTS; k++)
    if (chance (sim, 20))
      query_quiescence (sim, k);
  if (chance (sim, 3))
    restart_peer (sim, &sim->peers[random_below (sim, PEERS)]);
  if (chance (sim, 3))
    set_members (sim);
  if (chance (sim, 1))
    restart_controller (sim);
  tm_advance (sim->tm, tm_now_us (sim->tm) + random_below (sim, STEP_MS) * MS);
}

/* Run with SEED, add to TOTALS and return whether all checks passed.  */
bool
vwp_sim_run (uint64_t seed, struct vwp_sim_totals *totals)
{
  struct sim sim = { .passed = true, .seed = seed, .totals = totals };

  sim.tm = tm_new (START_US);
  sim.rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (sim.rng, seed);
  sim.messages = g_ptr_array_new_with_free_func (message_free);
  for (uint32_t k = 0; k < SLOTS; k++)
    g_snprintf (sim.slots[k].name, NAME_BYTES, "m%u", k);
  for (uint32_t i = 0; i < PEERS; i++)
    g_snprintf (sim.peers[i].name, NAME_BYTES, "i%u", i);
  restart_controller (&sim);
  for (uint32_t i = 0; i < STEPS; i++)
    step (&sim);
  sim.no_faults = true;
  restart_peer (&sim, &sim.peers[random_below (&sim, PEERS)]);
  tm_advance (sim.tm, tm_now_us (sim.tm) + RECOVERY_MS * MS);
  for (uint32_t i = 0; i < PEERS; i++)
    vwp_sim_check_end (&sim, &sim.peers[i]);
  g_ptr_array_free (sim.messages, TRUE);
  vwp_free (sim.vwp);
  for (uint32_t i = 0; i < PEERS; i++)
    vw_free (sim.peers[i].installed);
  gsl_rng_free (sim.rng);
  tm_free (sim.tm);
  return sim.passed;
}
