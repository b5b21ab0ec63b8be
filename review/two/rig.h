#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* What the cases share: time, the record, HTTP over blocking sockets with one
   thread for each connection, and the processes under test.  */

/* A request or a response.  Header names are looked up without regard to
   case.  */
struct rig_message
{
  char *head; /* null-terminated */
  size_t head_bytes;
  char *body;
  size_t body_bytes;
};

typedef void (*rig_serve) (void *arg, int fd);

void rig_begin (const char *folder);
void rig_end (int status) __attribute__ ((noreturn));
void rig_skip (const char *reason) __attribute__ ((noreturn));
bool rig_has_trouble (void);

uint64_t rig_now_ms (void);
uint64_t rig_unix_ms (void);
void rig_sleep_ms (uint32_t ms);
void rig_sleep_until (uint64_t at_ms);
void rig_note (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void rig_thread (void *(*run) (void *arg), void *arg);

/* Addresses are "IP:PORT" with an IP of the loopback network.  */
const char *rig_ip (uint32_t host);
char *rig_listen (const char *ip, rig_serve serve, void *arg);
int rig_connect (const char *address);
bool rig_write (int fd, const void *data, size_t bytes);
bool rig_read_head (int fd, struct rig_message *message);
bool rig_read_body (int fd, struct rig_message *message);
bool rig_read_response (int fd, struct rig_message *message);
void rig_message_clear (struct rig_message *message);
bool rig_field (const struct rig_message *message, const char *name,
                char *value, size_t bytes);
int rig_status (const struct rig_message *message);
void rig_close (int fd);

/* A machine with its process of the system under test.  */
struct rig_machine
{
  char name[64];
  char zone[32];
  char ip[32];
  char front[64];
  char ready[64];
  char file[512];
  pid_t pid; /* 0: not running */
};

void rig_machine_set (struct rig_machine *machine, const char *name,
                      const char *zone, uint32_t host);
void rig_machine_start (struct rig_machine *machine, const char *store);
void rig_machine_kill (struct rig_machine *machine);
bool rig_machine_is_ready (const struct rig_machine *machine);
void rig_machine_await (const struct rig_machine *machine);
uint64_t rig_machine_memory (const struct rig_machine *machine);

#endif
