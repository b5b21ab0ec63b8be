#ifndef COWSLIPCOVED_CONTROL_H
#define COWSLIPCOVED_CONTROL_H

#include <json-c/json.h>

#include "cowslip.h"
#include "daemon.h"
#include "vw.h"

/* Zone control: election, placement and orders to engines.  */

struct cd_control *cd_control_new (struct cd_daemon *daemon);
void cd_control_free (struct cd_control *control);

/* Report waiting demand to the zone's controller, which may be this
   instance.  */
void cd_control_report_demand (struct cd_daemon *daemon,
                               const cs_demand *demands, uint32_t count);
/* The engine at ENDPOINT was found to be much slower than its pool, or is in
   use again.  */
void cd_control_set_slow (struct cd_daemon *daemon, const char *endpoint,
                          bool slow);
/* The newest view of the own zone; NULL if none is known.  */
const struct vw_view *cd_control_view (const struct cd_daemon *daemon);
/* The instance that controls the zone; NULL if none is known.  */
const char *cd_control_holder (const struct cd_daemon *daemon);
uint64_t cd_control_fence (const struct cd_daemon *daemon);
/* Give up control; DONE is called when no order is under way any more.  */
void cd_control_hand_over (struct cd_daemon *daemon, void (*done) (void *arg),
                           void *arg);
/* Append the zone's control for the operators' status call.  */
void cd_control_status (const struct cd_daemon *daemon,
                        struct json_object *out);

#endif
