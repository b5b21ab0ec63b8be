#ifndef COWSLIP_VWP_H
#define COWSLIP_VWP_H

#include "tm.h"
#include "vw_update.h"

/* View push: decides when the controller of a zone sends which updates of its
   view to each member.  The owner transmits the updates and reports the
   results.  */
struct vwp;

/* Minimum interval between pushes; changes within it are batched.  */
#define VWP_PUSH_INTERVAL_US 50000
/* Delay before a push that failed, or that the member did not apply, is
   retried.  */
#define VWP_RETRY_US 500000
/* An up-to-date member is sent an empty update at this interval, so that one
   that lost its view recovers.  */
#define VWP_REFRESH_US 2000000
/* A member that missed more removals than this is sent the full view.  */
#define VWP_REMOVED_MAX 512

struct vwp_member
{
  const char *instance;
  uint64_t incarnation;
  bool reachable;
};

struct vwp_callbacks
{
  /* Send UPDATE, which is only valid during the call, to INSTANCE, and call
     vwp_push_done with ID exactly once, after returning.  Return false if
     nothing was sent; vwp_push_done is not called then.  */
  bool (*send) (void *arg, const char *instance,
                const struct vw_update *update, uint64_t id);
};

struct vwp *vwp_new (struct tm_service *tm,
                     const struct vwp_callbacks *callbacks, void *arg);
void vwp_free (struct vwp *vwp);
void vwp_set_members (struct vwp *vwp, const struct vwp_member *members,
                      uint32_t count);
void vwp_set_view (struct vwp *vwp, const struct vw_view *view);
void vwp_stop (struct vwp *vwp);
void vwp_push_done (struct vwp *vwp, const char *instance, uint64_t id,
                    bool ok, uint64_t fence, uint64_t sequence);
uint64_t vwp_changed_sequence (const struct vwp *vwp, const char *model,
                               const char *endpoint);

#endif
