#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "ctl.h"
#include "env.h"
#include "jsn.h"

#define DOCUMENTS_MS_PER_S 1000

static char *
documents_path (const struct ctl_options *options, const char *rest)
{
  return g_strdup_printf ("/admin/v1/environments/%s%s", options->environment,
                          rest);
}

static struct ctl_response
documents_get (const struct ctl_options *options, const char *rest)
{
  char *path = documents_path (options, rest);
  struct ctl_response response = ctl_call (options, "GET", path, NULL, 0);

  g_free (path);
  return response;
}

/* Read and validate FILE.  If it is invalid, print the reason and return
   NULL.  */
static struct env_document *
documents_load (const char *file)
{
  struct env_document *document = NULL;
  GError *error = NULL;
  char *text = NULL;
  size_t bytes;

  if (g_file_get_contents (file, &text, &bytes, &error))
    document = env_parse (text, bytes, &error);
  if (document == NULL)
    {
      fprintf (stderr, "cowslipctl: %s: %s\n", file, error->message);
      g_error_free (error);
    }
  g_free (text);
  return document;
}

/* Validate the document in a file, without contacting an instance.  */
enum ctl_status
ctl_check (const struct ctl_options *options, char **args)
{
  struct env_document *document = documents_load (args[0]);

  (void)options;
  if (document == NULL)
    return CTL_REFUSED;
  printf ("%s: digest %s, %u models, %u adapters, %u services\n", args[0],
          env_digest (document), env_models (document)->len,
          env_adapters (document)->len, env_services (document)->len);
  env_unref (document);
  return CTL_OK;
}

/* Print the changes that applying a file would make.  */
enum ctl_status
ctl_diff (const struct ctl_options *options, char **args)
{
  struct env_document *document = documents_load (args[0]);
  struct ctl_response response;
  struct json_object *from;
  struct json_object *to;
  const char *text;
  size_t bytes;

  if (document == NULL)
    return CTL_REFUSED;
  response = documents_get (options, "");
  if (response.status != 200 && response.status != 404)
    return ctl_print_error (&response);
  text = ctl_get_string (response.object, "document");
  from = response.status == 404 ? json_object_new_object ()
                                : jsn_parse (text, strlen (text), NULL);
  text = env_text (document, &bytes);
  to = jsn_parse (text, bytes, NULL);
  ctl_print_diff (from, to);
  json_object_put (from);
  json_object_put (to);
  ctl_response_clear (&response);
  env_unref (document);
  return CTL_OK;
}

static enum ctl_status
documents_change_done (const struct ctl_options *options,
                       struct ctl_response *response)
{
  enum ctl_status status;

  if (response->status != 200)
    status = ctl_print_error (response);
  else
    {
      if (options->json)
        ctl_print_json (response->object);
      status = ctl_await_in_force (
          options, ctl_get_int (response->object, "generation"));
    }
  ctl_response_clear (response);
  return status;
}

/* Return the query string of a change: base generation, author and comment.
   Without option -b the base is the current generation, which is read from the
   instance; if that fails, print the error and return NULL.  */
static char *
documents_query (const struct ctl_options *options)
{
  int64_t base = options->base;
  char *author;
  char *comment;
  char *query;

  if (base < 0)
    {
      struct ctl_response response = documents_get (options, "");
      bool readable = response.status == 200 || response.status == 404;

      if (!readable)
        ctl_print_error (&response);
      base = ctl_get_int (response.object, "generation");
      ctl_response_clear (&response);
      if (!readable)
        return NULL;
    }
  author = g_uri_escape_string (options->author, NULL, FALSE);
  comment = g_uri_escape_string (options->comment, NULL, FALSE);
  query = g_strdup_printf ("base=%lld&author=%s&comment=%s", (long long)base,
                           author, comment);
  g_free (author);
  g_free (comment);
  return query;
}

/* Make the document in a file the next generation and wait until it is in
   force.  */
enum ctl_status
ctl_apply (const struct ctl_options *options, char **args)
{
  struct env_document *document = documents_load (args[0]);
  struct ctl_response response;
  const char *text;
  size_t bytes;
  char *query;
  char *path;

  if (document == NULL)
    return CTL_REFUSED;
  query = documents_query (options);
  path = g_strdup_printf ("/admin/v1/environments/%s?%s", options->environment,
                          query);
  text = env_text (document, &bytes);
  response = ctl_call (options, "PUT", path, text, bytes);
  g_free (query);
  g_free (path);
  env_unref (document);
  return documents_change_done (options, &response);
}

/* Make the current document of another environment, unchanged, the next
   generation of this one.  */
enum ctl_status
ctl_promote (const struct ctl_options *options, char **args)
{
  char *query = documents_query (options);
  struct ctl_response response;
  char *path;

  if (query == NULL)
    return CTL_UNAVAILABLE;
  path = g_strdup_printf ("/admin/v1/environments/%s/promote?from=%s&%s",
                          options->environment, args[0], query);
  response = ctl_call (options, "POST", path, "", 0);
  g_free (query);
  g_free (path);
  return documents_change_done (options, &response);
}

static void
documents_print_text (struct json_object *record)
{
  fputs (ctl_get_string (record, "document"), stdout);
}

/* Print the current document.  */
enum ctl_status
ctl_show (const struct ctl_options *options, char **args)
{
  struct ctl_response response = documents_get (options, "");

  (void)args;
  return ctl_print (options, &response, documents_print_text);
}

static void
documents_print_entry (struct json_object *entry)
{
  time_t seconds = ctl_get_int (entry, "time_ms") / DOCUMENTS_MS_PER_S;
  struct tm utc;
  char stamp[32];

  gmtime_r (&seconds, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%SZ", &utc);
  printf ("%10lld  %s  %s  %-16s %s\n",
          (long long)ctl_get_int (entry, "generation"), stamp,
          ctl_get_string (entry, "digest"), ctl_get_string (entry, "author"),
          ctl_get_string (entry, "comment"));
}

static void
documents_print_history (struct json_object *entries)
{
  for (size_t i = 0; i < json_object_array_length (entries); i++)
    documents_print_entry (json_object_array_get_idx (entries, i));
}

/* Print the change history of the environment.  */
enum ctl_status
ctl_history (const struct ctl_options *options, char **args)
{
  struct ctl_response response = documents_get (options, "/history");

  (void)args;
  return ctl_print (options, &response, documents_print_history);
}
