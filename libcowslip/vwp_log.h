#ifndef COWSLIP_VWP_LOG_H
#define COWSLIP_VWP_LOG_H

#include "vw_update.h"

/* Change log of a view: the newest view, with the sequence at which each
   replica last changed.  */
struct vwp_log;

struct vwp_log *vwp_log_new (uint32_t removed_max);
void vwp_log_free (struct vwp_log *log);
bool vwp_log_update (struct vwp_log *log, const struct vw_view *view,
                     uint64_t now_us);
void vwp_log_clear (struct vwp_log *log);
uint64_t vwp_log_fence (const struct vwp_log *log);
uint64_t vwp_log_sequence (const struct vwp_log *log);
uint64_t vwp_log_changed_sequence (const struct vwp_log *log,
                                   const char *model, const char *endpoint);
struct vw_update *vwp_log_since (const struct vwp_log *log, uint64_t fence,
                                 uint64_t sequence);

#endif
