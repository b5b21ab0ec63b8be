#ifndef COWSLIPCOVED_CONTROL_IMPL_H
#define COWSLIPCOVED_CONTROL_IMPL_H

/* Internals of zone control, shared by control*.c.  */

#include "control.h"
#include "mem.h"
#include "own.h"
#include "plc.h"
#include "vwp.h"

#define CONTROL_US_PER_MS      UINT64_C (1000)
#define CONTROL_RPC_TIMEOUT_MS 2000

struct cd_control
{
  struct cd_daemon *daemon;
  struct own *own;
  struct plc *plc;
  struct vw_view *view; /* latest, of this instance's zone */
  struct vwp *pushes;   /* view updates to members */
  GHashTable *calls;    /* set of struct control_call in progress */
  GHashTable *listed;   /* addresses seen in the instance list */
  struct tm_timer list_timer;
  struct tm_timer hand_over_timer;
  bool list_read_pending;
  void (*hand_over_done) (void *arg);
  void *hand_over_arg;
};

/* Context of one call in progress.  CONTROL is NULL after control was
   freed.  */
struct control_call
{
  struct cd_control *control;
  struct tm_timer timer;
  uint64_t id;
  enum plc_outcome outcome;
  char *instance;
  char *model;
  char *endpoint;
  uint64_t fence;
  uint64_t sent_us;
};

struct control_call *control_call_new (struct cd_control *control);
void control_call_free (struct control_call *call);

void control_send_order (void *arg, const struct plc_order *order);

bool_t control_xdr_void (XDR *xdr, ...);
const struct mem_member *control_member (const struct cd_control *control,
                                         const char *instance);
void control_register (struct cd_control *control);
void control_request_promise (void *arg, const char *instance, uint64_t fence,
                              uint32_t duration_ms, uint64_t sent_us);
void control_request_quiesce (void *arg, const char *instance,
                              const char *model, const char *endpoint);
void control_send_demand (struct cd_control *control, const char *holder,
                          const cs_demand *demands, uint32_t count);
void control_apply_demand (struct cd_control *control, const char *instance,
                           const cs_demand *demands, uint32_t count);

void control_apply_view (void *arg, const struct vw_view *view);
bool control_send_update (void *arg, const char *instance,
                          const struct vw_update *update, uint64_t id);
void control_apply_update (struct cd_control *control,
                           const struct vw_update *update, const char *holder);
cs_view control_encode_update (const struct vw_update *update,
                               uint64_t now_us);
struct vw_update *control_decode_update (const cs_view *in, uint64_t now_us);

void control_on_document (void *arg, const void *what);
void control_on_members (void *arg, const void *what);
void control_list_start (struct cd_control *control);

#endif
