#ifndef COWSLIP_VW_H
#define COWSLIP_VW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* The controller's view of a zone's replicas, which it pushes to every
   instance of the zone.  */

enum vw_state
{
  VW_COLD,
  VW_LOADING,
  VW_READY,
  VW_QUIESCING, /* no new work; unload follows */
  VW_DOUBTFUL,
  VW_BLOCKED /* no load can be ordered now */
};

struct vw_replica
{
  char *model;
  char *endpoint; /* "IP:PORT" */
  enum vw_state state;
  uint64_t ready_us; /* expected time of readiness, for VW_LOADING */
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
bool vw_newer (const struct vw_view *view, const struct vw_view *than);
bool vw_same (const struct vw_replica *x, const struct vw_replica *y,
              uint64_t now_us);
bool vw_is_quiet (const struct vw_view *view, uint64_t fence,
                  uint64_t sequence, const char *model, const char *endpoint);
char *vw_key (const struct vw_replica *replica);
const char *vw_state_text (enum vw_state state);

#endif
