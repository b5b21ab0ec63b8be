#include <string.h>

#include <gsl/gsl_rng.h>

#include "vwp_sim_impl.h"

#define TIMEOUT_MS  1000
#define STEP_MS     30
#define RECOVERY_MS 2100
#define START_US    1000000

/* A push and its answer, or a question about KEY.  */
struct message
{
  struct sim *sim;
  struct peer *peer;
  struct vw_update *update;
  struct tm_timer arrival;
  struct tm_timer repeat;
  struct tm_timer answer;
  struct tm_timer timeout;
  uint64_t incarnation;
  uint64_t fence;
  uint64_t id;
  uint32_t key;
  uint64_t asked; /* sequence */
  uint64_t held_fence;
  uint64_t held_sequence;
};

static void
message_free (gpointer data)
{
  struct message *message = data;

  tm_cancel (message->sim->tm, &message->arrival);
  tm_cancel (message->sim->tm, &message->repeat);
  tm_cancel (message->sim->tm, &message->answer);
  tm_cancel (message->sim->tm, &message->timeout);
  vw_update_free (message->update);
  g_free (message);
}

static uint64_t
pick (struct sim *sim, uint64_t below)
{
  return gsl_rng_uniform_int (sim->rng, below);
}

static bool
chance (struct sim *sim, uint32_t percent)
{
  return !sim->calm && pick (sim, 100) < percent;
}

static uint64_t
delay_us (struct sim *sim)
{
  return (1 + pick (sim, chance (sim, 20) ? 700 : 3)) * MS;
}

static void
on_answer (void *arg)
{
  struct message *message = arg;
  struct sim *sim = message->sim;
  struct peer *peer = message->peer;

  tm_cancel (sim->tm, &message->timeout);
  if (message->fence != sim->fence)
    return;
  if (message->incarnation == peer->told_incarnation)
    {
      peer->acked_fence = message->held_fence;
      peer->acked_sequence = message->held_sequence;
    }
  vwp_push_done (sim->vwp, peer->name, message->id, true, message->held_fence,
                 message->held_sequence);
}

static void
on_timeout (void *arg)
{
  struct message *message = arg;

  tm_cancel (message->sim->tm, &message->answer);
  if (message->fence == message->sim->fence)
    vwp_push_done (message->sim->vwp, message->peer->name, message->id, false,
                   0, 0);
}

static void
deliver (struct message *message)
{
  struct sim *sim = message->sim;
  struct peer *peer = message->peer;
  struct vw_view *view = vw_apply (peer->held, message->update);

  if (view == NULL)
    {
      sim->totals->refused
          += vw_is_newer (message->update->view, peer->held) ? 1 : 0;
      return;
    }
  vwp_sim_check (sim, vw_is_newer (view, peer->held), "view goes back",
                 peer->name);
  vw_free (peer->held);
  peer->held = view;
  vwp_sim_check_view (sim, peer);
}

static void
on_repeat (void *arg)
{
  deliver (arg);
}

static void
on_arrival (void *arg)
{
  struct message *message = arg;
  struct sim *sim = message->sim;

  deliver (message);
  if (message->peer->held != NULL)
    {
      message->held_fence = message->peer->held->fence;
      message->held_sequence = message->peer->held->sequence;
    }
  if (!chance (sim, 10))
    tm_after (sim->tm, &message->answer, delay_us (sim), on_answer, message);
}

static struct message *
message_new (struct sim *sim, struct peer *peer)
{
  struct message *message = g_new0 (struct message, 1);

  message->sim = sim;
  message->peer = peer;
  message->fence = sim->fence;
  message->incarnation = peer->told_incarnation;
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
  /* Times of readiness stay absolute, so that delays do not shift them.  */
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
    tm_after (sim->tm, &message->repeat, pick (sim, 3000) * MS, on_repeat,
              message);
  return true;
}

static void
on_question (void *arg)
{
  struct message *message = arg;
  struct sim *sim = message->sim;
  const struct key *key = &sim->keys[message->key];

  if (message->fence != sim->fence || key->changed != message->asked
      || !vw_is_quiesced (message->peer->held, message->fence, message->asked,
                          key->name, key->name))
    return;
  message->peer->quiet[message->key] = message->asked;
  sim->totals->quiet++;
}

static void
ask (struct sim *sim, uint32_t k)
{
  struct key *key = &sim->keys[k];
  struct message *message;

  if (!key->there || key->state != VW_QUIESCING)
    return;
  message = message_new (sim, &sim->peers[pick (sim, PEERS)]);
  message->key = k;
  message->asked = vwp_changed_sequence (sim->vwp, key->name, key->name);
  vwp_sim_check (sim, message->asked == key->changed, "sequence of a change",
                 key->name);
  tm_after (sim->tm, &message->arrival, delay_us (sim), on_question, message);
}

static void
show (struct sim *sim)
{
  struct vw_view *view = vw_new ("a", sim->fence, sim->sequence);

  sim->states[sim->sequence] = vwp_sim_states (sim);
  for (uint32_t k = 0; k < KEYS; k++)
    if (sim->keys[k].there)
      (void)vw_add (view, sim->keys[k].name, sim->keys[k].name,
                    sim->keys[k].state, sim->keys[k].ready_us);
  vwp_set_view (sim->vwp, view);
  vw_free (view);
}

static void
change (struct sim *sim)
{
  struct key *key = &sim->keys[pick (sim, KEYS)];
  bool there = pick (sim, 10) > 0;

  sim->sequence++;
  if (there && key->there)
    key->state = (key->state + 1 + pick (sim, 5)) % 6;
  else if (!there && !key->there)
    return;
  key->there = there;
  key->changed = sim->sequence;
  key->ready_us
      = key->state == VW_LOADING ? tm_now_us (sim->tm) + START_US : 0;
  show (sim);
}

/* Estimates that move by less than the slack.  */
static void
drift (struct sim *sim)
{
  for (uint32_t k = 0; k < KEYS; k++)
    if (sim->keys[k].there && sim->keys[k].state == VW_LOADING)
      sim->keys[k].ready_us += pick (sim, 2 * MS);
}

static void
tell_members (struct sim *sim)
{
  struct vwp_member members[PEERS];

  for (uint32_t i = 0; i < PEERS; i++)
    {
      struct peer *peer = &sim->peers[i];

      if (peer->told_incarnation != peer->incarnation)
        peer->acked_fence = 0;
      peer->told_incarnation = peer->incarnation;
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
  for (uint32_t k = 0; k < KEYS; k++)
    sim->keys[k].changed = 1;
  for (uint32_t i = 0; i < PEERS; i++)
    memset (sim->peers[i].quiet, 0, sizeof sim->peers[i].quiet);
  tell_members (sim);
  show (sim);
}

static void
restart_peer (struct sim *sim, struct peer *peer)
{
  vw_free (peer->held);
  peer->held = NULL;
  peer->incarnation++;
  memset (peer->quiet, 0, sizeof peer->quiet);
  if (chance (sim, 50))
    tell_members (sim);
}

static void
step (struct sim *sim)
{
  if (chance (sim, 60))
    change (sim);
  if (chance (sim, 20))
    drift (sim);
  for (uint32_t k = 0; k < KEYS; k++)
    if (chance (sim, 20))
      ask (sim, k);
  if (chance (sim, 3))
    restart_peer (sim, &sim->peers[pick (sim, PEERS)]);
  if (chance (sim, 3))
    tell_members (sim);
  if (chance (sim, 1))
    restart_controller (sim);
  tm_advance (sim->tm, tm_now_us (sim->tm) + pick (sim, STEP_MS) * MS);
}

/* Run with SEED, add to TOTALS and return whether all checks held.  */
bool
vwp_sim_run (uint64_t seed, struct vwp_sim_totals *totals)
{
  struct sim sim = { .good = true, .seed = seed, .totals = totals };

  sim.tm = tm_new (START_US);
  sim.rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (sim.rng, seed);
  sim.messages = g_ptr_array_new_with_free_func (message_free);
  for (uint32_t k = 0; k < KEYS; k++)
    g_snprintf (sim.keys[k].name, NAME_BYTES, "m%u", k);
  for (uint32_t i = 0; i < PEERS; i++)
    g_snprintf (sim.peers[i].name, NAME_BYTES, "i%u", i);
  restart_controller (&sim);
  for (uint32_t i = 0; i < STEPS; i++)
    step (&sim);
  sim.calm = true;
  restart_peer (&sim, &sim.peers[pick (&sim, PEERS)]);
  tm_advance (sim.tm, tm_now_us (sim.tm) + RECOVERY_MS * MS);
  for (uint32_t i = 0; i < PEERS; i++)
    vwp_sim_check_end (&sim, &sim.peers[i]);
  g_ptr_array_free (sim.messages, TRUE);
  vwp_free (sim.vwp);
  for (uint32_t i = 0; i < PEERS; i++)
    vw_free (sim.peers[i].held);
  gsl_rng_free (sim.rng);
  tm_free (sim.tm);
  return sim.good;
}
