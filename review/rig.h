#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Shared by the stand-ins of the review: HTTP/1.1 on blocking sockets of the
   loopback network, one thread a connection, and the record of a run.  */

#define RIG_HEAD_MAX 16384

/* A message that was read.  HEAD is the start line and the fields.  */
struct rig_message
{
  char head[RIG_HEAD_MAX];
  char method[16];
  char target[1024];
  char *body; /* NUL-terminated */
  size_t body_bytes;
};

/* A connection with bytes that were read ahead.  */
struct rig_conn
{
  int fd;
  char buffer[65536];
  size_t begin;
  size_t end;
};

double rig_now (void);
void rig_sleep (double seconds);
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

int rig_listen (uint16_t port);
int rig_connect (uint16_t port);
void rig_serve (int listener, void *(*handler) (void *conn));

ssize_t rig_fill (struct rig_conn *conn);
bool rig_read_head (struct rig_conn *conn, char *head);
bool rig_read_exactly (struct rig_conn *conn, char *data, size_t bytes);
bool rig_read_request (struct rig_conn *conn, struct rig_message *message);
const char *rig_field (const char *head, const char *name, char *value,
                       size_t bytes);
bool rig_write (int fd, const void *data, size_t bytes);
bool rig_print (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

char *rig_base64 (const char *data, size_t bytes);
int rig_post_store (uint16_t port, const char *path, const char *body);

int rig_store_main (int argc, char **argv);
int rig_engine_main (int argc, char **argv);
int rig_keep_main (int argc, char **argv);
int rig_caller_main (int argc, char **argv);
int rig_ports_main (int count);
int rig_writer_main (int argc, char **argv);

#endif
