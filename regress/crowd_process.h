#ifndef REGRESS_CROWD_PROCESS_H
#define REGRESS_CROWD_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* A process of the system, or a stand-in, that a test starts, and what it
   takes of its machine.  */
struct crowd_process
{
  pid_t pid; /* 0: not running */
  uint16_t port;
  uint64_t peak_bytes; /* resident, plus received and not yet read */
  uint32_t peak_descriptors;
};

/* Memory that the sanitizers need for themselves in the processes of a test;
   limits of memory are raised by it.  */
#if defined __SANITIZE_ADDRESS__
#define CROWD_SANITIZER_BYTES (96U << 20)
#else
#define CROWD_SANITIZER_BYTES 0U
#endif

uint16_t crowd_unused_port (void);
const char *crowd_directory (void);
char *crowd_write_file (const char *name, const char *text);
void crowd_start (struct crowd_process *process, const char *program,
                  const char *const *arguments);
void crowd_await_port (struct crowd_process *process);
int crowd_call (const char *program, const char *const *arguments);
bool crowd_is_running (struct crowd_process *process);
void crowd_sample (struct crowd_process *process);
void crowd_stop (struct crowd_process *process);
int crowd_connect (uint16_t port, uint32_t timeout_ms);
int crowd_ask (uint16_t port, const char *request, uint32_t timeout_ms);

#endif
