#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "mbg.h"

/* Runs clients that fill the memory of a process.  Commands:
     memory KB             use a machine with this memory; comes first
     open NAME             a client connects
     send NAME KB          it sends, and its bytes are kept; it may be evicted
     control KB            an operator sends
     end NAME              its request has ended; its bytes are freed
     busy NAME             its request is in progress: it is not evicted
     run MS                advance the clock
     retry KB              print when a refused client may return
   After each command that moves bytes, the use of the budget is printed.  */

#define WORDS_MAX   4
#define US_PER_MS   1000
#define BYTES_PER_K 1024

struct client
{
  char *name;
  struct mbg_holder holder;
  size_t bytes;
};

static struct tm_service *tm;
static struct mbg_budget *budget;
static GHashTable *clients; /* name -> struct client */

static void
print_use (const char *what)
{
  printf ("  %s; %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT " KB\n", what,
          mbg_used_bytes (budget) / BYTES_PER_K,
          mbg_limit_bytes (budget, MBG_CLIENT) / BYTES_PER_K);
}

static void
free_bytes (struct client *client)
{
  mbg_give (budget, client->bytes);
  client->bytes = 0;
  mbg_set_bytes (&client->holder, 0);
}

static void
on_evict (void *arg)
{
  struct client *client = arg;

  printf ("  %s evicted\n", client->name);
  free_bytes (client);
}

static void
open_client (const char *name)
{
  struct client *client = g_new0 (struct client, 1);

  client->name = g_strdup (name);
  mbg_open (&client->holder, budget, on_evict, client);
  g_hash_table_insert (clients, client->name, client);
}

static struct client *
find_client (const char *name)
{
  struct client *client = g_hash_table_lookup (clients, name);

  if (client == NULL)
    g_error ("no client %s", name);
  return client;
}

static void
send_bytes (struct client *client, size_t bytes)
{
  mbg_set_evictable (&client->holder, false);
  if (!mbg_take (budget, bytes, mbg_holder_use (&client->holder, bytes)))
    {
      print_use ("refused");
      return;
    }
  client->bytes += bytes;
  mbg_progress (&client->holder, bytes);
  mbg_set_bytes (&client->holder, client->bytes);
  mbg_set_evictable (&client->holder, true);
  print_use ("kept");
}

static void
run_command (char *const *words)
{
  const char *command = words[0];
  const char *argument = words[1] == NULL ? "" : words[1];
  const char *amount = words[1] == NULL || words[2] == NULL ? "" : words[2];
  size_t number = strtoul (argument, NULL, 10);

  if (g_str_equal (command, "memory"))
    budget = mbg_new (tm, number * BYTES_PER_K);
  else if (g_str_equal (command, "open"))
    open_client (argument);
  else if (g_str_equal (command, "send"))
    send_bytes (find_client (argument),
                strtoul (amount, NULL, 10) * BYTES_PER_K);
  else if (g_str_equal (command, "control"))
    print_use (mbg_take (budget, number * BYTES_PER_K, MBG_CONTROL)
                   ? "kept"
                   : "refused");
  else if (g_str_equal (command, "end"))
    {
      free_bytes (find_client (argument));
      print_use ("freed");
    }
  else if (g_str_equal (command, "busy"))
    mbg_set_evictable (&find_client (argument)->holder, false);
  else if (g_str_equal (command, "run"))
    tm_advance (tm, tm_now_us (tm) + number * US_PER_MS);
  else if (g_str_equal (command, "retry"))
    printf ("  after %u ms\n",
            mbg_retry_after_ms (budget, number * BYTES_PER_K));
  else
    g_error ("unknown command %s", command);
}

int
main (void)
{
  char line[256];

  tm = tm_new (1);
  clients = g_hash_table_new (g_str_hash, g_str_equal);
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      char *words[WORDS_MAX + 1] = { NULL };
      char *next;
      size_t count = 0;

      line[strcspn (line, "#\n")] = '\0';
      for (char *word = strtok_r (line, " ", &next);
           word != NULL && count < WORDS_MAX;
           word = strtok_r (NULL, " ", &next))
        words[count++] = word;
      if (count == 0)
        continue;
      printf ("> %s %s %s\n", words[0], words[1] == NULL ? "" : words[1],
              words[2] == NULL ? "" : words[2]);
      run_command (words);
    }
  return EXIT_SUCCESS;
}
