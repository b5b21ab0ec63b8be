#ifndef COWSLIP_PRT_H
#define COWSLIP_PRT_H

#include <stdbool.h>
#include <stddef.h>

#include "flt.h"
#include "h1_head.h"
#include "rte.h"

/* Describes the platform's protocol to the gateway: header fields, store keys,
   and the formats of the configuration, endpoint entries, reports and
   orders.  */

/* Names of the header fields that the gateway reads or sets.  */
struct prt_fields
{
  const char *request_id;
  const char *deadline_remaining_ms; /* until the caller's deadline */
  const char *expected_endpoint;
  const char *endpoint_id;
  const char *not_run; /* set if the endpoint did not run the request */
  const char *seal;    /* present in complete responses of endpoints */
  const char *model;   /* MODEL or MODEL/ADAPTER */
  const char *prefix;  /* prefixes of the prompt: ID:TOKENS,... */
  const char *priority;
  const char *last_event_id;
  const char *load;    /* RUNNING,WAITING,SLOTS,PACE; PACE is optional */
  const char *leaving; /* "1": the endpoint leaves */
  /* Fields that only the gateway may set, terminated by NULL.  */
  const char *const *reserved;
};

/* Keys in the store.  */
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

/* An order to an engine to load or unload a model or an adapter.  */
struct prt_order
{
  enum prt_order_kind kind;
  const char *model;
  const char *adapter; /* NULL: the model itself */
  const char *holder;  /* instance that issues the order */
  uint64_t fence;
  uint64_t orders; /* number accepted before; refused if it differs */
};

enum prt_order_result
{
  PRT_ACCEPTED,  /* accepted; execution has started */
  PRT_COMPLETED, /* completed at once, or nothing to do */
  PRT_BUSY,      /* another order is in progress, or the count differs */
  PRT_FENCED,    /* the engine has seen a higher fence */
  PRT_REFUSED,   /* not possible, or another engine has this address */
  PRT_NO_RESPONSE
};

struct prt_protocol
{
  struct prt_fields fields;
  struct prt_keys keys;
  const char *report_path; /* report of an engine */
  const char *order_path;
  const char *ready_path; /* readiness probe of the load balancer */
  /* Return NULL and set ERROR if the input is invalid.  */
  struct rte_config *(*read_config) (const char *text, size_t bytes,
                                     GError **error);
  struct flt_entry *(*read_entry) (const char *id, const char *text,
                                   size_t bytes, GError **error);
  /* Append to OUT the parts of an entry that routing depends on.  */
  void (*condense_entry) (const char *text, size_t bytes, GString *out);
  /* Fill WEIGHTS, which must be initialized.  Return false and set ERROR if
     the report is invalid.  */
  bool (*read_report) (const char *text, size_t bytes,
                       struct flt_weights *weights, GError **error);
  /* Return the body of an order; the caller frees it.  */
  char *(*write_order) (const struct prt_order *order);
  /* Return the result that the HTTP status of the response stands for.  */
  enum prt_order_result (*read_order) (uint16_t status);
};

#endif
