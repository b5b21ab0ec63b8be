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
  struct ctl_response answer = ctl_call (options, "GET", path, NULL, 0);

  g_free (path);
  return answer;
}

/* Read and check FILE; print the reason and return NULL if it is refused.  */
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

/* Check the document in a file without any instance.  */
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

/* Print what applying a file would change.  */
enum ctl_status
ctl_diff (const struct ctl_options *options, char **args)
{
  struct env_document *document = documents_load (args[0]);
  struct ctl_response answer;
  struct json_object *from;
  struct json_object *to;
  const char *text;
  size_t bytes;

  if (document == NULL)
    return CTL_REFUSED;
  answer = documents_get (options, "");
  if (answer.status != 200 && answer.status != 404)
    return ctl_print_error (&answer);
  text = ctl_get_string (answer.object, "document");
  from = answer.status == 404 ? json_object_new_object ()
                              : jsn_parse (text, strlen (text), NULL);
  text = env_text (document, &bytes);
  to = jsn_parse (text, bytes, NULL);
  ctl_print_diff (from, to);
  json_object_put (from);
  json_object_put (to);
  ctl_response_clear (&answer);
  env_unref (document);
  return CTL_OK;
}

static enum ctl_status
documents_change_done (const struct ctl_options *options,
                       struct ctl_response *answer)
{
  enum ctl_status status;

  if (answer->status != 200)
    status = ctl_print_error (answer);
  else
    {
      if (options->json)
        ctl_print_json (answer->object);
      status = ctl_await_in_force (options,
                                   ctl_get_int (answer->object, "generation"));
    }
  ctl_response_clear (answer);
  return status;
}

/* Return the query of a change: base generation, author and comment.  The base
   is read first unless it was given.  Print the reason and return NULL if it
   cannot be read.  */
static char *
documents_query (const struct ctl_options *options)
{
  int64_t base = options->base;
  char *author;
  char *comment;
  char *query;

  if (base < 0)
    {
      struct ctl_response answer = documents_get (options, "");
      bool readable = answer.status == 200 || answer.status == 404;

      if (!readable)
        ctl_print_error (&answer);
      base = ctl_get_int (answer.object, "generation");
      ctl_response_clear (&answer);
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
  struct ctl_response answer;
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
  answer = ctl_call (options, "PUT", path, text, bytes);
  g_free (query);
  g_free (path);
  env_unref (document);
  return documents_change_done (options, &answer);
}

/* Make the present document of another environment, unchanged, the next
   generation of this one.  */
enum ctl_status
ctl_promote (const struct ctl_options *options, char **args)
{
  char *query = documents_query (options);
  struct ctl_response answer;
  char *path;

  if (query == NULL)
    return CTL_UNAVAILABLE;
  path = g_strdup_printf ("/admin/v1/environments/%s/promote?from=%s&%s",
                          options->environment, args[0], query);
  answer = ctl_call (options, "POST", path, "", 0);
  g_free (query);
  g_free (path);
  return documents_change_done (options, &answer);
}

static void
documents_print_text (struct json_object *record)
{
  fputs (ctl_get_string (record, "document"), stdout);
}

/* Print the present document.  */
enum ctl_status
ctl_show (const struct ctl_options *options, char **args)
{
  struct ctl_response answer = documents_get (options, "");

  (void)args;
  return ctl_print (options, &answer, documents_print_text);
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

/* Print who changed the environment and when.  */
enum ctl_status
ctl_history (const struct ctl_options *options, char **args)
{
  struct ctl_response answer = documents_get (options, "/history");

  (void)args;
  return ctl_print (options, &answer, documents_print_history);
}
