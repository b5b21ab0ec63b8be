#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

/* Runs the election of a zone on commands, one per line:
   start|kill|pause|resume|leave I, cut|heal I (the connection to the key-value
   service), stale I (an engine rejects the fencing number of I), kv up|down,
   advance MS, may (print which instances may send orders to engines that check
   fencing numbers and to engines that ignore them), demand I MODEL, late
   (delay every order).  */

static const struct sim_faults no_faults = { 0, 0, 0 };
static const struct sim_faults all_delayed = { 0, 1000, 0 };

static void
print_permissions (struct sim *sim)
{
  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    {
      const struct sim_instance *instance = &sim->instances[i];
      uint64_t fence;

      if (instance->alive)
        sim_log (sim, "%s may order: checking %s, ignoring %s", instance->name,
                 own_may_order (instance->own, true, &fence) ? "yes" : "no",
                 own_may_order (instance->own, false, &fence) ? "yes" : "no");
    }
}

static void
print_hand_over (void *arg, bool done)
{
  sim_log (arg, "handed over: %s", done ? "released" : "nothing held");
}

static void
run_instance (struct sim *sim, const char *command, const char *name)
{
  uint32_t index = (uint32_t)(name[1] - '1');
  struct sim_instance *instance = &sim->instances[index];

  if (strcmp (command, "start") == 0)
    sim_start (sim, index);
  else if (strcmp (command, "kill") == 0)
    sim_kill (sim, index);
  else if (strcmp (command, "leave") == 0)
    own_hand_over (instance->own, print_hand_over, sim);
  else if (strcmp (command, "stale") == 0)
    own_fence_rejected (instance->own, own_fence (instance->own) + 1);
  else if (strcmp (command, "pause") == 0 || strcmp (command, "resume") == 0)
    instance->paused = command[0] == 'p';
  else
    instance->kv_unreachable = strcmp (command, "cut") == 0;
}

static void
run_line (struct sim *sim, char *line)
{
  char command[16] = "";
  char first[16] = "";
  char second[16] = "";

  if (sscanf (line, "%15s %15s %15s", command, first, second) < 1
      || command[0] == '#')
    return;
  sim_log (sim, "> %s %s %s", command, first, second);
  if (strcmp (command, "advance") == 0)
    sim_advance (sim, strtoull (first, NULL, 10));
  else if (strcmp (command, "may") == 0)
    print_permissions (sim);
  else if (strcmp (command, "late") == 0)
    sim->faults = all_delayed;
  else if (strcmp (command, "kv") == 0)
    sim->kv_down = strcmp (first, "down") == 0;
  else if (strcmp (command, "demand") == 0)
    sim_demand (sim, (uint32_t)(first[1] - '1'), second, 1, 60000);
  else if (first[0] == 'i')
    run_instance (sim, command, first);
  else
    printf ("unknown command %s\n", command);
}

int
main (void)
{
  struct sim *sim = sim_new (1, &no_faults);
  char line[128];

  sim->verbose = true;
  while (fgets (line, sizeof line, stdin) != NULL)
    run_line (sim, line);
  if (sim->violation[0] != '\0')
    printf ("violation: %s\n", sim->violation);
  sim_free (sim);
  return 0;
}
