#ifndef REGRESS_INVARIANTS_H
#define REGRESS_INVARIANTS_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>

/* Checks the records of the stand-ins for violations of the guarantees that
   cowslipcove gives.  */
struct inv;

/* What callers recorded about one idempotency key.  */
struct inv_key
{
  const char *text;
  uint64_t run;     /* run whose response was received, 0 if none */
  uint64_t sends;   /* number of calls with this key */
  uint64_t not_run; /* number of those refused with "not_run" */
};

/* Receives one finding, which is a violation or only a note.  */
typedef void (*inv_finding_cb) (void *arg, bool violation, const char *text);

struct inv *inv_new (void);
void inv_free (struct inv *inv);
void inv_budget (struct inv *inv, const char *model, const char *zone,
                 uint32_t replicas);
void inv_engine (struct inv *inv, const char *address, const char *zone,
                 struct json_object *records);
void inv_service (struct inv *inv, const char *address,
                  struct json_object *records);
void inv_kv (struct inv *inv, const char *address,
             struct json_object *records);
void inv_key (struct inv *inv, const struct inv_key *key);
void inv_not_run (struct inv *inv, const char *seed);
uint32_t inv_report (struct inv *inv, inv_finding_cb finding, void *arg);

#endif
