#ifndef COWSLIP_VW_H
#define COWSLIP_VW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* The view of a zone: the state of its replicas, which the zone's controller
   pushes to every instance of the zone.  */

enum vw_state
{
  VW_COLD,
  VW_LOADING,
  VW_READY,
  VW_QUIESCING, /* no new requests; will be unloaded */
  VW_DOUBTFUL,  /* may hold a replica, or can be loaded soon */
  VW_BLOCKED    /* the controller cannot order a load now */
};

struct vw_replica
{
  char *model;
  char *endpoint; /* "IP:PORT" */
  enum vw_state state;
  uint64_t ready_us; /* expected time of readiness; 0: none */
};

/* Views are ordered by fencing number, then by sequence.  */
struct vw_view
{
  char *zone;
  uint64_t fence;
  uint64_t sequence;
  GPtrArray *replicas; /* struct vw_replica */
};

struct vw_view *vw_new (const char *zone, uint64_t fence, uint64_t sequence);
struct vw_replica *vw_add (struct vw_view *view, const char *model,
                           const char *endpoint, enum vw_state state,
                           uint64_t ready_us);
void vw_free (struct vw_view *view);
bool vw_is_newer (const struct vw_view *view, const struct vw_view *other);
bool vw_is_equivalent (const struct vw_replica *x, const struct vw_replica *y,
                       uint64_t now_us);
bool vw_is_quiesced (const struct vw_view *view, uint64_t fence,
                     uint64_t sequence, const char *model,
                     const char *endpoint);
char *vw_key (const struct vw_replica *replica);
const char *vw_state_text (enum vw_state state);

#endif
