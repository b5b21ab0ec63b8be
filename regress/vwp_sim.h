#ifndef REGRESS_VWP_SIM_H
#define REGRESS_VWP_SIM_H

#include <stdbool.h>
#include <stdint.h>

/* A simulation of a controller and its members on a network that loses,
   delays, reorders and duplicates messages.  */

struct vwp_sim_totals
{
  uint32_t pushes;
  uint32_t full;     /* full views */
  uint32_t rejected; /* the member lacked the base of the update */
  uint32_t quiesced; /* acknowledged quiescences */
};

bool vwp_sim_run (uint64_t seed, struct vwp_sim_totals *totals);

#endif
