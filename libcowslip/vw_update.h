#ifndef COWSLIP_VW_UPDATE_H
#define COWSLIP_VW_UPDATE_H

#include "vw.h"

/* An update of a view, as pushed to members: a full view, or the changes since
   an earlier view from the same controller.  */
struct vw_update
{
  uint64_t base;        /* sequence of the earlier view; 0: full view */
  struct vw_view *view; /* with the added and changed replicas only */
  GPtrArray *removed;   /* struct vw_replica; state and time are not used */
};

struct vw_update *vw_update_new (const char *zone, uint64_t fence,
                                 uint64_t base, uint64_t sequence);
void vw_update_remove (struct vw_update *update, const char *model,
                       const char *endpoint);
void vw_update_free (struct vw_update *update);
struct vw_view *vw_apply (const struct vw_view *current,
                          const struct vw_update *update);

#endif
