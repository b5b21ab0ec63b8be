#ifndef COWSLIPCTL_CTL_H
#define COWSLIPCTL_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>

/* Commands of the operators' client, and its access to the administrative
   interface of an instance.  */

/* Exit statuses, listed in cowslipctl.1.  */
enum ctl_status
{
  CTL_OK = 0,
  CTL_FAILED = 1,
  CTL_USAGE = 2,
  CTL_REFUSED = 3,
  CTL_CONFLICT = 4,
  CTL_UNAVAILABLE = 5,
  CTL_OUTCOME_UNKNOWN = 6,
  CTL_NOT_IN_FORCE = 7
};

/* Options given on the command line.  */
struct ctl_options
{
  const char *address;
  const char *token_file;
  const char *environment;
  const char *author;
  const char *comment;
  int64_t base; /* -1: the current generation */
  uint32_t wait_ms;
  bool json;
  char *token;
};

/* A response of an instance.  BODY is the text of the transport error if
   STATUS is 0; OBJECT is NULL if the body is not JSON.  */
struct ctl_response
{
  uint16_t status; /* 0: no response */
  char *body;
  struct json_object *object;
};

struct ctl_response ctl_call (const struct ctl_options *options,
                              const char *method, const char *path,
                              const char *body, size_t body_bytes);
void ctl_response_clear (struct ctl_response *response);
enum ctl_status ctl_response_status (const struct ctl_response *response);
enum ctl_status ctl_print_error (const struct ctl_response *response);
enum ctl_status ctl_print (const struct ctl_options *options,
                           struct ctl_response *response,
                           void (*print) (struct json_object *object));
void ctl_print_json (struct json_object *object);
const char *ctl_get_string (struct json_object *object, const char *key);
int64_t ctl_get_int (struct json_object *object, const char *key);
bool ctl_get_bool (struct json_object *object, const char *key);

enum ctl_status ctl_check (const struct ctl_options *options, char **args);
enum ctl_status ctl_diff (const struct ctl_options *options, char **args);
enum ctl_status ctl_apply (const struct ctl_options *options, char **args);
enum ctl_status ctl_promote (const struct ctl_options *options, char **args);
enum ctl_status ctl_show (const struct ctl_options *options, char **args);
enum ctl_status ctl_history (const struct ctl_options *options, char **args);
enum ctl_status ctl_state (const struct ctl_options *options, char **args);
enum ctl_status ctl_watch (const struct ctl_options *options, char **args);
enum ctl_status ctl_models (const struct ctl_options *options, char **args);
enum ctl_status ctl_endpoints (const struct ctl_options *options, char **args);
enum ctl_status ctl_drain (const struct ctl_options *options, char **args);
enum ctl_status ctl_counters (const struct ctl_options *options, char **args);
enum ctl_status ctl_await_in_force (const struct ctl_options *options,
                                    int64_t generation);
uint32_t ctl_print_diff (struct json_object *from, struct json_object *to);

#endif
