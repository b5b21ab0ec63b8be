#ifndef COWSLIPCOVED_CONTROL_H
#define COWSLIPCOVED_CONTROL_H

/* Controls a zone: elects its controller, which decides on placement and sends
   load and unload orders to engines.  */

#include <json-c/json.h>

#include "cowslip.h"
#include "daemon.h"
#include "vw.h"

struct cd_control *cd_control_new (struct cd_daemon *daemon);
void cd_control_free (struct cd_control *control);

/* Report the demand of waiting requests to the zone's controller, which may be
   this instance.  */
void cd_control_report_demand (struct cd_daemon *daemon,
                               const cs_demand *demands, uint32_t count);
/* Record whether the engine at ENDPOINT was found to be much slower than its
   pool.  */
void cd_control_set_slow (struct cd_daemon *daemon, const char *endpoint,
                          bool slow);
/* The latest view of this instance's zone; NULL if none is known.  */
const struct vw_view *cd_control_view (const struct cd_daemon *daemon);
/* The instance that controls the zone; NULL if none is known.  */
const char *cd_control_holder (const struct cd_daemon *daemon);
uint64_t cd_control_fence (const struct cd_daemon *daemon);
/* Relinquish control and call DONE once no order is in flight.  */
void cd_control_hand_over (struct cd_daemon *daemon, void (*done) (void *arg),
                           void *arg);
/* Add the state of zone control to the operators' status.  */
void cd_control_status (const struct cd_daemon *daemon,
                        struct json_object *out);

#endif
