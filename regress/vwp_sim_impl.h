#ifndef REGRESS_VWP_SIM_IMPL_H
#define REGRESS_VWP_SIM_IMPL_H

#include <gsl/gsl_rng.h>

#include "control_impl.h"
#include "vwp_sim.h"

#define PEERS      5
#define KEYS       16
#define STEPS      400
#define NAME_BYTES 16
#define MS         1000

struct peer
{
  char name[NAME_BYTES];
  uint64_t incarnation;
  uint64_t told_incarnation; /* what the controller knows */
  struct vw_view *held;
  uint64_t acked_fence; /* the last answer that the controller got */
  uint64_t acked_sequence;
  uint64_t quiet[KEYS]; /* sequence of the quiescence that it confirmed */
};

/* One model; its endpoint is the same.  */
struct key
{
  char name[NAME_BYTES];
  bool there;
  enum vw_state state;
  uint64_t ready_us;
  uint64_t changed;
};

struct sim
{
  struct tm_service *tm;
  gsl_rng *rng;
  struct vwp *vwp;
  uint64_t fence;
  uint64_t sequence;
  uint64_t states[STEPS + 2]; /* by sequence, 3 bits for each model */
  struct peer peers[PEERS];
  struct key keys[KEYS];
  GPtrArray *messages;
  bool calm;
  bool good;
  uint64_t seed;
  struct vwp_sim_totals *totals;
};

void vwp_sim_check (struct sim *sim, bool good, const char *what,
                    const char *where);
uint64_t vwp_sim_states (const struct sim *sim);
void vwp_sim_check_view (struct sim *sim, const struct peer *peer);
void vwp_sim_check_update (struct sim *sim, const struct peer *peer,
                           const struct vw_update *update);
void vwp_sim_check_end (struct sim *sim, const struct peer *peer);

#endif
