#ifndef REGRESS_VWP_SIM_IMPL_H
#define REGRESS_VWP_SIM_IMPL_H

/* State of the view push simulation, shared by vwp_sim*.c.  */

#include <gsl/gsl_rng.h>

#include "control_impl.h"
#include "vwp_sim.h"

#define PEERS      5
#define SLOTS      16
#define STEPS      400
#define NAME_BYTES 16
#define MS         1000

struct peer
{
  char name[NAME_BYTES];
  uint64_t incarnation;
  uint64_t known_incarnation; /* by the controller */
  struct vw_view *installed;
  uint64_t acked_fence; /* of the last reply received by the controller */
  uint64_t acked_sequence;
  uint64_t quiesced[SLOTS]; /* last acknowledged sequence */
};

/* A model with one replica, on an endpoint of the same name.  */
struct slot
{
  char name[NAME_BYTES];
  bool listed;
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
  uint64_t states[STEPS + 2]; /* by sequence, STATE_BITS per model */
  struct peer peers[PEERS];
  struct slot slots[SLOTS];
  GPtrArray *messages;
  bool no_faults;
  bool passed;
  uint64_t seed;
  struct vwp_sim_totals *totals;
};

void vwp_sim_check (struct sim *sim, bool passed, const char *what,
                    const char *where);
uint64_t vwp_sim_states (const struct sim *sim);
void vwp_sim_check_view (struct sim *sim, const struct peer *peer);
void vwp_sim_check_update (struct sim *sim, const struct peer *peer,
                           const struct vw_update *update);
void vwp_sim_check_end (struct sim *sim, const struct peer *peer);

#endif
