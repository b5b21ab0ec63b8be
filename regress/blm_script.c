#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "blm_record.h"

/* Runs the table of traits that crash endpoints on commands, one a line:
     crash TRAIT CRASH PLACE REQUEST [AGE-MS]
     answered TRAIT [AGE-MS]
     alive CRASH [AGE-MS]            a request sent then was answered
     check TRAIT... | try TRAIT...   of one request; try: it may be a trial
     fill COUNT                      suspect COUNT other traits
     advance MS | expire
     save TRAIT | load TRAIT TEXT    its record, read at the time of day 1000 s
   All identifiers are small numbers; a REQUEST is the trait of a request as a
   whole.  */

#define ARGS_MAX   8
#define US_PER_MS  1000ULL
#define UNIX_MS    1000000
#define FILL_FIRST 100000

static struct tm_service *tm;
static struct blm_table *table;
static uint64_t now_us = 1;
static uint64_t args[ARGS_MAX];
static size_t arg_count;

static void
on_blocked (void *arg, uint64_t trait, uint32_t crashes)
{
  (void)arg;
  printf ("%" G_GUINT64_FORMAT " blocked after %u crashes\n", trait, crashes);
}

static void
on_unblocked (void *arg, uint64_t trait, enum blm_reason reason)
{
  (void)arg;
  printf ("%" G_GUINT64_FORMAT " unblocked: %s\n", trait,
          blm_reason_text (reason));
}

static void
add_crash (uint64_t trait, uint64_t crash)
{
  struct blm_crash event = { .trait = trait,
                             .crash = crash,
                             .place = args[2],
                             .request = args[3],
                             .age_ms = (uint32_t)args[4] };

  blm_add (table, &event);
}

static void
run_fill (void)
{
  uint64_t count = args[0];

  args[2] = args[3] = args[4] = 0;
  for (uint64_t i = 0; i < count; i++)
    {
      now_us += US_PER_MS;
      tm_advance (tm, now_us);
      add_crash (FILL_FIRST + i, i);
    }
}

static void
run_check (bool may_try)
{
  static const char *const names[] = { "clear", "trial", "blocked" };
  uint64_t trait = 0;
  enum blm_verdict verdict
      = blm_check (table, args, arg_count, may_try, &trait);

  printf ("%s", names[verdict]);
  if (verdict != BLM_CLEAR)
    printf (" by %" G_GUINT64_FORMAT, trait);
  printf ("\n");
}

static void
run_load (const char *text)
{
  GError *error = NULL;

  if (blm_record_apply (table, args[0], text, strlen (text), UNIX_MS, &error))
    return;
  printf ("malformed: %s\n", error->message);
  g_error_free (error);
}

static void
run_alive (void)
{
  bool disproved
      = blm_is_disproved (table, args[0], now_us - args[1] * US_PER_MS);

  printf ("%s\n", disproved ? "disproved" : "not disproved");
  if (disproved)
    blm_retract (table, args[0]);
}

static void
run_save (void)
{
  char *text = blm_record_encode (table, args[0], UNIX_MS);

  printf ("%s\n", text);
  g_free (text);
}

static void
run (const char *command, const char *text)
{
  if (strcmp (command, "crash") == 0)
    add_crash (args[0], args[1]);
  else if (strcmp (command, "answered") == 0)
    (void)blm_clear (table, args[0], (uint32_t)args[1]);
  else if (strcmp (command, "alive") == 0)
    run_alive ();
  else if (strcmp (command, "check") == 0 || strcmp (command, "try") == 0)
    run_check (command[0] == 't');
  else if (strcmp (command, "fill") == 0)
    run_fill ();
  else if (strcmp (command, "advance") == 0)
    {
      now_us += args[0] * US_PER_MS;
      tm_advance (tm, now_us);
    }
  else if (strcmp (command, "expire") == 0)
    blm_expire (table);
  else if (strcmp (command, "save") == 0)
    run_save ();
  else if (strcmp (command, "load") == 0)
    run_load (text == NULL ? "" : text);
  else
    {
      printf ("unknown command %s\n", command);
      exit (EXIT_FAILURE);
    }
}

int
main (void)
{
  static const struct blm_callbacks callbacks = { on_blocked, on_unblocked };
  char line[4096];

  tm = tm_new (now_us);
  table = blm_new (tm, &callbacks, NULL);
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      char **words = g_strsplit (g_strchomp (line), " ", ARGS_MAX);
      const char *text = strchr (line, '{');

      memset (args, 0, sizeof args);
      arg_count = g_strv_length (words);
      arg_count = arg_count == 0 ? 0 : arg_count - 1;
      for (size_t i = 0; i < arg_count; i++)
        args[i] = strtoull (words[i + 1], NULL, 10);
      if (words[0] != NULL && words[0][0] != '#')
        {
          printf ("> %s\n", line);
          run (words[0], text);
        }
      g_strfreev (words);
    }
  blm_free (table);
  tm_free (tm);
  return EXIT_SUCCESS;
}
