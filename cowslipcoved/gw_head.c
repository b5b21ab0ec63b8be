#include <stdio.h>

#include "gw_impl.h"

/* Heads of requests to endpoints and of responses to callers.  */

/* Engines take priorities from 0, the highest, to 9.  Requests of a route with
   priority 0 get this one.  */
#define GW_ENGINE_PRIORITY_BASE 2
#define GW_ENGINE_PRIORITY_MAX  9

/* Return whether NAMES, which may be NULL, contains NAME, ignoring case.  */
static bool
gw_list_has_name (const char *const *names, const char *name)
{
  for (; names != NULL && *names != NULL; names++)
    if (g_ascii_strcasecmp (*names, name) == 0)
      return true;
  return false;
}

static bool
gw_is_reserved (const struct prt_fields *fields, const char *name)
{
  return gw_list_has_name (fields->reserved, name)
         || g_ascii_strcasecmp (fields->deadline_remaining_ms, name) == 0;
}

static void
gw_add_gateway_fields (const struct gw_request *request,
                       const struct flt_endpoint *endpoint,
                       struct h1_head *head)
{
  const struct prt_fields *fields = &request->gw->protocol->fields;
  uint32_t engine_priority
      = MIN (GW_ENGINE_PRIORITY_BASE + request->route->priority,
             GW_ENGINE_PRIORITY_MAX);
  uint32_t remaining_ms = request->route->kind == RTE_STREAM
                              ? gw_caller_remaining_ms (request)
                              : gw_remaining_ms (request);
  char number[32];

  h1_head_add (head, fields->expected_endpoint, endpoint->entry.id);
  (void)snprintf (number, sizeof number, "%u", remaining_ms);
  h1_head_add (head, fields->deadline_remaining_ms, number);
  if (request->model != NULL)
    {
      (void)snprintf (number, sizeof number, "%u", engine_priority);
      h1_head_add (head, fields->priority, number);
    }
  if (request->response_started)
    {
      (void)snprintf (number, sizeof number, "%" G_GUINT64_FORMAT,
                      request->events.last_id);
      h1_head_add (head, fields->last_event_id, number);
    }
}

/* Build in HEAD the head with which REQUEST is sent to ENDPOINT.  */
void
gw_build_request_head (const struct gw_request *request,
                       const struct flt_endpoint *endpoint,
                       struct h1_head *head)
{
  const struct prt_fields *names = &request->gw->protocol->fields;
  const struct h1_head *from = h1_exchange_head (request->exchange);
  struct h1_names hop_by_hop;

  h1_names_init (&hop_by_hop, from);
  h1_head_init (head);
  head->method = g_strdup (from->method);
  head->target = g_strdup (from->target);
  head->has_length = from->has_length;
  head->chunked = from->chunked;
  for (guint i = 0; i < from->fields->len; i++)
    {
      const struct h1_field *field
          = &g_array_index (from->fields, struct h1_field, i);

      if (gw_is_reserved (names, field->name)
          || h1_names_has (&hop_by_hop, field->name)
          || (request->response_started
              && g_ascii_strcasecmp (field->name, names->last_event_id) == 0))
        continue;
      h1_head_add (head, field->name, field->value);
    }
  h1_names_clear (&hop_by_hop);
  gw_add_gateway_fields (request, endpoint, head);
}

/* Keep what the caller of REQUEST gets of HEAD, the response head of an
   endpoint.  */
void
gw_buffer_response_head (struct gw_request *request,
                         const struct h1_head *head)
{
  const char *type = h1_head_get (head, "Content-Type");
  struct h1_names hop_by_hop;

  h1_names_init (&hop_by_hop, head);
  request->event_stream = evs_is_stream_type (type);
  request->unframed
      = !head->has_length && !head->chunked
        && !g_str_equal (h1_exchange_head (request->exchange)->method, "HEAD");
  h1_head_init (&request->response);
  request->response.status = head->status;
  request->response.has_length = head->has_length && !request->event_stream;
  request->response.length_bytes = head->length_bytes;
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct h1_field *field
          = &g_array_index (head->fields, struct h1_field, i);

      if (!h1_names_has (&hop_by_hop, field->name))
        h1_head_add (&request->response, field->name, field->value);
    }
  h1_names_clear (&hop_by_hop);
  request->response_buffered = true;
}
