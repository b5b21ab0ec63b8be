#ifndef COWSLIP_VWP_H
#define COWSLIP_VWP_H

#include "tm.h"
#include "vw_update.h"

/* Decides what the controller of a zone pushes of its view to which member.
   The owner carries the pushes and reports how they ended.  */
struct vwp;

/* Changes that come closer together share a push.  */
#define VWP_SPACING_US 50000
/* A push that failed, or that the member did not take, is repeated.  */
#define VWP_RETRY_US 500000
/* A member that holds the newest view hears of it so often, so that one that
   lost its view recovers.  */
#define VWP_ANNOUNCE_US 2000000
/* A member that missed more removals than these gets everything.  */
#define VWP_REMOVED_MAX 512

struct vwp_member
{
  const char *instance;
  uint64_t incarnation;
  bool reachable;
};

struct vwp_callbacks
{
  /* Send UPDATE, which is valid during the call, to INSTANCE, and call
     vwp_answered once with ID, not before returning.  False: nothing was sent,
     and no answer follows.  */
  bool (*send) (void *arg, const char *instance,
                const struct vw_update *update, uint64_t id);
};

struct vwp *vwp_new (struct tm_service *tm,
                     const struct vwp_callbacks *callbacks, void *arg);
void vwp_free (struct vwp *vwp);
void vwp_set_members (struct vwp *vwp, const struct vwp_member *members,
                      uint32_t count);
void vwp_view (struct vwp *vwp, const struct vw_view *view);
void vwp_stop (struct vwp *vwp);
void vwp_answered (struct vwp *vwp, const char *instance, uint64_t id, bool ok,
                   uint64_t fence, uint64_t sequence);
uint64_t vwp_changed (const struct vwp *vwp, const char *model,
                      const char *endpoint);

#endif
