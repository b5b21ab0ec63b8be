#ifndef COWSLIP_PRT_H
#define COWSLIP_PRT_H

#include <stdbool.h>
#include <stddef.h>

#include "flt.h"
#include "h1_head.h"
#include "rte.h"

/* What the gateway needs to know of the protocol that callers, endpoints and
   the operator's configuration speak.  */

/* Names of the header fields that the gateway reads or sets.  */
struct prt_fields
{
  const char *request_id;
  const char *time_left_ms; /* how long the caller waits on */
  const char *expected_endpoint;
  const char *endpoint_id;
  const char *not_run; /* the endpoint did not run the request */
  const char *seal;    /* marks whole answers of endpoints */
  const char *model;   /* MODEL or MODEL/ADAPTER */
  const char *prefix;  /* parts of the prompt: ID:TOKENS,... */
  const char *priority;
  const char *last_event;
  const char *load; /* running, waiting, slots, pace */
  /* Fields that only the gateway may set; ends with NULL.  */
  const char *const *reserved;
};

/* Keys of the store.  */
struct prt_keys
{
  const char *config;
  const char *endpoint_prefix;
};

enum prt_order_kind
{
  PRT_LOAD,
  PRT_UNLOAD
};

/* An order to an engine to load or unload a model, or an adapter of it.  */
struct prt_order
{
  enum prt_order_kind kind;
  const char *model;
  const char *adapter; /* NULL: the model itself */
  const char *holder;  /* who orders */
  uint64_t fence;
  uint64_t orders; /* accepted so far; the engine refuses if it differs */
};

enum prt_order_result
{
  PRT_STARTED, /* accepted and under way */
  PRT_HOLDS,   /* done already, or done at once */
  PRT_BUSY,    /* another order is under way, or the count differs */
  PRT_FENCED,  /* a higher fence was seen */
  PRT_REFUSED, /* not possible, or another engine has the address */
  PRT_NO_ANSWER
};

struct prt_protocol
{
  struct prt_fields fields;
  struct prt_keys keys;
  const char *report_path; /* of engines */
  const char *order_path;
  const char *ready_path; /* asked by the balancer */
  /* Return NULL and set ERROR if the bytes cannot be used.  */
  struct rte_config *(*read_config) (const char *text, size_t bytes,
                                     GError **error);
  struct flt_entry *(*read_entry) (const char *id, const char *text,
                                   size_t bytes, GError **error);
  /* Fill WEIGHTS, which is prepared.  Return false and set ERROR if the
     report cannot be used.  */
  bool (*read_report) (const char *text, size_t bytes,
                       struct flt_weights *weights, GError **error);
  /* Return the body of an order, to be freed.  */
  char *(*write_order) (const struct prt_order *order);
  enum prt_order_result (*read_order) (uint16_t status);
};

#endif
