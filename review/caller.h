#ifndef REVIEW_CALLER_H
#define REVIEW_CALLER_H

#include <arpa/inet.h>
#include <netinet/in.h>

#include "rig.h"

/* Shared by the requesters of the cases.  */

#define CALLER_PORTS_MAX 16

/* A channel to a gateway, kept for several requests.  */
struct caller_channel
{
  struct rig_conn conn; /* its fd is 0 while it is closed */
  int answers;
};

struct caller_call
{
  const char *kind; /* first letters of the id */
  const char *path;
  const char *fields; /* further fields, each with its line end */
  int deadline_ms;
  char id[64];
  int status; /* 0: no head came */
  bool complete;
  bool sealed;
  bool kept; /* the channel had an answer before */
  double sent_at;
  double answered_at;
};

extern uint16_t caller_ports[CALLER_PORTS_MAX];
extern int caller_port_count;

void caller_send (struct caller_channel *channel, uint16_t port,
                  struct caller_call *call);
void caller_close (struct caller_channel *channel);
bool caller_has_trouble (void);
int caller_count (const char *text, double *last_at);
int caller_runs (const char *id);
void caller_start (void *(*run) (void *arg), void *arg);
bool caller_wait_ready (double limit_s);

int caller_bad_answer (void);
int caller_deadly (void);
int caller_hang (void);
int caller_extra (void);

#endif
