#ifndef COWSLIP_FLT_H
#define COWSLIP_FLT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tm.h"

/* The gateway's registry of endpoints: for each its entry in the store, the
   models that it holds, its load, and its failures as seen by this
   instance.  */
struct flt_fleet;

/* A model that an engine has loaded, and its adapters.  */
struct flt_model
{
  char *name;
  uint64_t version;
  GPtrArray *adapters; /* char * */
};

/* The weights that an engine holds.  */
struct flt_weights
{
  GPtrArray *models;    /* struct flt_model */
  GHashTable *by_name;  /* the same by name */
  GPtrArray *in_memory; /* char *: copies in the engine's host memory */
  GPtrArray *on_disk;   /* char *: copies on the engine's disk */
  /* Reports only.  */
  GPtrArray *incoming; /* char *: MODEL/ADAPTER being fetched */
  uint64_t orders;     /* accepted since the engine started */
  bool busy;           /* an order is in progress */
};

/* The entry of an endpoint in the store.  */
struct flt_entry
{
  char *id;
  char *service;
  char *address;
  char *zone;
  uint32_t slots;
  uint64_t started_ms; /* Unix time; 0: unknown */
  bool leaving;
  uint32_t leaves_in_ms; /* if LEAVING; 0: unknown */
  int64_t revision;      /* of the store when it was written; 0: unknown */
  struct flt_weights weights;
};

/* A longer pause of an engine is worth loading elsewhere what it holds.  */
#define FLT_PAUSE_SHORT_MS 2000

struct flt_endpoint
{
  struct flt_entry entry;
  /* From the engine's last report.  Orders are based on it, because the engine
     itself has confirmed it.  Requests are routed by ENTRY.WEIGHTS, which
     follows entries and notices and may be stale or wrong.  */
  struct flt_weights reported;
  bool has_report;
  /* Models of the last entry or report.  ENTRY.WEIGHTS is the same with the
     notices that may be more recent.  */
  struct flt_weights announced;
  GArray *received;    /* struct flt_notice, from the leader */
  GArray *absent;      /* struct flt_absent */
  bool expired;        /* removed once no request is in flight */
  uint64_t expires_us; /* end of the grace period; 0: not set */
  bool listed;         /* has an entry in the store */
  uint64_t backoff_until_us;
  uint64_t paused_until_us; /* it wants no requests of this instance */
  uint32_t failures;        /* consecutive */
  uint32_t in_flight;
  uint32_t outstanding;     /* of these, requests without a response yet */
  uint64_t last_receive_us; /* last bytes of any response */
  /* Load that the endpoint reported with a response.  */
  uint32_t running;
  uint32_t waiting;
  uint32_t pace_percent;     /* 100: normal; more is slower */
  uint64_t load_reported_us; /* 0: never */
  char *unloading;           /* model that is to be unloaded, or NULL */
  uint64_t unloading_us;
};

/* How long an endpoint is still used where no other can serve.  */
struct flt_grace
{
  uint32_t removed_ms; /* its entry was removed */
  uint32_t lost_ms;    /* the store has lost it, and it may be alive */
};

/* Changes on an engine that the leader sends to the instances before the
   engine's entry shows them.  */
enum flt_notice_kind
{
  FLT_LOADED,    /* the model or adapter is loaded */
  FLT_UNLOADING, /* it is to be unloaded and must get no new requests */
  FLT_UNLOADED   /* it is unloaded */
};

void flt_weights_init (struct flt_weights *weights);
void flt_weights_clear (struct flt_weights *weights);
void flt_weights_drop_models (struct flt_weights *weights);
void flt_weights_copy_models (struct flt_weights *to,
                              const struct flt_weights *from);
struct flt_model *flt_weights_add (struct flt_weights *weights,
                                   const char *name, uint64_t version);
bool flt_weights_drop (struct flt_weights *weights, const char *model);
struct flt_model *flt_weights_find (const struct flt_weights *weights,
                                    const char *model);
bool flt_model_has (const struct flt_model *model, const char *adapter);
bool flt_list_has (const GPtrArray *list, const char *text);
struct flt_entry *flt_entry_new (void);
void flt_entry_free (struct flt_entry *entry);

struct flt_fleet *flt_new (struct tm_service *tm);
void flt_free (struct flt_fleet *fleet);
struct flt_endpoint *flt_put_entry (struct flt_fleet *fleet,
                                    struct flt_entry *entry);
void flt_remove_entry (struct flt_fleet *fleet, const char *id,
                       int64_t revision, const struct flt_grace *grace);
bool flt_extend_grace (struct flt_fleet *fleet, uint32_t grace_ms);
void flt_set_era (struct flt_fleet *fleet, int64_t era);
void flt_list_begin (struct flt_fleet *fleet, int64_t revision);
void flt_list_end (struct flt_fleet *fleet, const struct flt_grace *grace);
void flt_sweep (struct flt_fleet *fleet);
struct flt_endpoint *flt_find (const struct flt_fleet *fleet, const char *id);
GPtrArray *flt_all (struct flt_fleet *fleet);
void flt_set_report (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                     struct flt_weights *weights);
void flt_set_load (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                   uint32_t running, uint32_t waiting, uint32_t pace_percent);
double flt_mean_load (const struct flt_fleet *fleet, const char *service);
void flt_apply_notice (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                       enum flt_notice_kind kind, const char *model,
                       const char *adapter);
void flt_mark_absent (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                      const char *model, const char *adapter);
void flt_invalidate_reports (struct flt_fleet *fleet);
bool flt_holds (const struct flt_fleet *fleet,
                const struct flt_endpoint *endpoint, const char *model,
                const char *adapter);
void flt_record_failure (struct flt_fleet *fleet,
                         struct flt_endpoint *endpoint, bool unreachable);
void flt_record_success (struct flt_endpoint *endpoint);
bool flt_mark_leaving (struct flt_fleet *fleet, const char *id,
                       uint64_t started_ms);
uint32_t flt_pause (struct flt_fleet *fleet, const char *id,
                    uint64_t started_ms, double pause_s);
uint32_t flt_pause_ms (const struct flt_fleet *fleet,
                       const struct flt_endpoint *endpoint);
bool flt_has_pauses (const struct flt_fleet *fleet);
bool flt_in_service (const struct flt_fleet *fleet,
                     const struct flt_endpoint *endpoint);
bool flt_usable (const struct flt_fleet *fleet,
                 const struct flt_endpoint *endpoint);

#endif
