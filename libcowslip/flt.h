#ifndef COWSLIP_FLT_H
#define COWSLIP_FLT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tm.h"

/* The endpoints that announced themselves, and what this instance knows of
   each.  */
struct flt_fleet;

/* A model that an engine holds, with its adapters (char *).  */
struct flt_model
{
  char *name;
  uint64_t version;
  GPtrArray *adapters;
};

/* What an engine says of its weights.  */
struct flt_weights
{
  GPtrArray *models;    /* struct flt_model */
  GPtrArray *in_memory; /* char *: copies in the engine's host memory */
  GPtrArray *on_disk;   /* char *: copies on the engine's disk */
  /* Reports only.  */
  GPtrArray *incoming; /* char *: MODEL/ADAPTER on their way */
  uint64_t orders;     /* accepted since the engine's start */
  bool busy;           /* an order is being carried out */
};

/* What an endpoint announces.  */
struct flt_entry
{
  char *id;
  char *service;
  char *address;
  char *zone;
  uint32_t slots;
  uint64_t started_ms; /* Unix time; 0: unknown */
  bool leaving;
  uint32_t leaves_in_ms; /* with LEAVING; 0: not told */
  struct flt_weights weights;
};

struct flt_endpoint
{
  struct flt_entry entry;
  /* What the engine's last report says.  ENTRY.WEIGHTS is what requests are
     sent by: it follows announcements and news, which may be late or wrong,
     whereas orders must rest on what the engine itself has confirmed.  */
  struct flt_weights reported;
  bool reported_known;
  GArray *told;     /* struct flt_told, the latest news */
  GArray *absent;   /* struct flt_absent */
  bool gone;        /* no longer announced; kept while in use */
  uint64_t gone_us; /* when an unlisted endpoint counts as gone; 0: it
                       was listed */
  bool listed;
  uint64_t avoid_until_us;
  uint32_t failures; /* in a row */
  uint32_t in_flight;
  uint32_t unanswered; /* of these, requests whose answer has not begun */
  uint64_t heard_us;   /* last bytes of any answer */
  /* Load as the endpoint told it with an answer.  */
  uint32_t running;
  uint32_t waiting;
  uint32_t pace_percent; /* 100: as usual */
  uint64_t load_us;      /* when it was told; 0: never */
  char *closing;         /* model that is about to be unloaded, or NULL */
  uint64_t closing_us;
};

/* What the leader tells of an engine before the engine announces it.  */
enum flt_news
{
  FLT_READY,   /* the model or adapter is loaded */
  FLT_CLOSING, /* it is about to be unloaded and must get no new work */
  FLT_GONE     /* it is unloaded */
};

void flt_weights_init (struct flt_weights *weights);
void flt_weights_clear (struct flt_weights *weights);
void flt_weights_copy (struct flt_weights *to, const struct flt_weights *from);
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
struct flt_endpoint *flt_announced (struct flt_fleet *fleet,
                                    struct flt_entry *entry);
void flt_withdrawn (struct flt_fleet *fleet, const char *id,
                    uint32_t grace_ms);
bool flt_keep_lapsed (struct flt_fleet *fleet, uint32_t grace_ms);
void flt_list_begin (struct flt_fleet *fleet);
void flt_list_end (struct flt_fleet *fleet, uint32_t grace_ms);
void flt_sweep (struct flt_fleet *fleet);
struct flt_endpoint *flt_find (const struct flt_fleet *fleet, const char *id);
GPtrArray *flt_all (struct flt_fleet *fleet);
void flt_told_weights (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                       struct flt_weights *weights);
void flt_told_load (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                    uint32_t running, uint32_t waiting, uint32_t pace_percent);
void flt_told_news (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                    enum flt_news news, const char *model,
                    const char *adapter);
void flt_lacks (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                const char *model, const char *adapter);
void flt_forget_reports (struct flt_fleet *fleet);
bool flt_holds (const struct flt_fleet *fleet,
                const struct flt_endpoint *endpoint, const char *model,
                const char *adapter);
void flt_failed (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                 bool unreachable);
void flt_answered (struct flt_endpoint *endpoint);
bool flt_usable (const struct flt_fleet *fleet,
                 const struct flt_endpoint *endpoint);

#endif
