#ifndef REGRESS_VWP_SIM_H
#define REGRESS_VWP_SIM_H

#include <stdbool.h>
#include <stdint.h>

/* A controller and its members on a network that loses, delays, reorders and
   repeats messages.  */

struct vwp_sim_totals
{
  uint32_t pushes;
  uint32_t full;    /* with everything */
  uint32_t refused; /* the member had not the base */
  uint32_t quiet;   /* promises not to use a replica */
};

bool vwp_sim_run (uint64_t seed, struct vwp_sim_totals *totals);

#endif
