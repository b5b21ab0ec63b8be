#include <math.h>
#include <string.h>

#include "experiment.h"
#include "fields.h"

#define LD_DURATION_MAX_S 3600
#define LD_REQUESTS_MAX   5000000U

static const struct ld_field experiment_fields[] = {
  { "seed", LD_UINT64, offsetof (struct ld_experiment, seed) },
  { "duration_s", LD_NUMBER, offsetof (struct ld_experiment, duration_s) },
  { "requests_max", LD_UINT32, offsetof (struct ld_experiment, requests_max) },
  { "in_flight_max", LD_UINT32,
    offsetof (struct ld_experiment, in_flight_max) },
  { "resend", LD_BOOL, offsetof (struct ld_experiment, resend) },
  { "targets", LD_STRINGS, offsetof (struct ld_experiment, targets) },
  { "arrival", LD_OTHER, 0 },
  { "mix", LD_OTHER, 0 },
  { NULL, LD_OTHER, 0 }
};

static const struct ld_field arrival_fields[]
    = { { "kind", LD_OTHER, 0 },
        { "rate", LD_NUMBER, offsetof (struct ld_arrival, rate) },
        { "burst", LD_UINT32, offsetof (struct ld_arrival, burst) },
        { "every_ms", LD_UINT32, offsetof (struct ld_arrival, every_ms) },
        { "factor", LD_NUMBER, offsetof (struct ld_arrival, factor) },
        { "at_s", LD_NUMBER, offsetof (struct ld_arrival, at_s) },
        { "rise_s", LD_NUMBER, offsetof (struct ld_arrival, rise_s) },
        { "hold_s", LD_NUMBER, offsetof (struct ld_arrival, hold_s) },
        { "file", LD_STRING, offsetof (struct ld_arrival, file) },
        { NULL, LD_OTHER, 0 } };

static const struct ld_field mix_fields[] = {
  { "name", LD_STRING, offsetof (struct ld_mix, name) },
  { "class", LD_STRING, offsetof (struct ld_mix, class_name) },
  { "kind", LD_OTHER, 0 },
  { "weight", LD_NUMBER, offsetof (struct ld_mix, weight) },
  { "models", LD_STRINGS, offsetof (struct ld_mix, names) },
  { "services", LD_STRINGS, offsetof (struct ld_mix, names) },
  { "skew", LD_NUMBER, offsetof (struct ld_mix, skew) },
  { "tokens_min", LD_UINT32, offsetof (struct ld_mix, tokens_min) },
  { "tokens_max", LD_UINT32, offsetof (struct ld_mix, tokens_max) },
  { "long_percent", LD_NUMBER, offsetof (struct ld_mix, long_percent) },
  { "long_factor", LD_UINT32, offsetof (struct ld_mix, long_factor) },
  { "prompt_bytes", LD_UINT32, offsetof (struct ld_mix, prompt_bytes) },
  { "prefixes", LD_UINT32, offsetof (struct ld_mix, prefixes) },
  { "stream", LD_BOOL, offsetof (struct ld_mix, stream) },
  { "method", LD_STRING, offsetof (struct ld_mix, method) },
  { "path", LD_STRING, offsetof (struct ld_mix, path) },
  { "key", LD_BOOL, offsetof (struct ld_mix, key) },
  { "repeat_percent", LD_NUMBER, offsetof (struct ld_mix, repeat_percent) },
  { "marker", LD_STRING, offsetof (struct ld_mix, marker) },
  { "marker_percent", LD_NUMBER, offsetof (struct ld_mix, marker_percent) },
  { "deadline_ms", LD_UINT32, offsetof (struct ld_mix, deadline_ms) },
  { NULL, LD_OTHER, 0 }
};

/* Return the index in NAMES of the value of OBJECT's key "kind", or -1 with
   ERROR set.  */
static int32_t
ld_read_kind (struct json_object *object, const char *path,
              const char *const *names, GError **error)
{
  struct json_object *value = json_object_object_get (object, "kind");
  const char *kind = value == NULL ? "" : json_object_get_string (value);

  for (int32_t i = 0; names[i] != NULL; i++)
    if (strcmp (names[i], kind) == 0)
      return i;
  g_set_error (error, LD_ERROR, 0, "%s.kind: unknown kind \"%s\"", path, kind);
  return -1;
}

static bool
ld_set_error (GError **error, const char *path, const char *message)
{
  g_set_error (error, LD_ERROR, 0, "%s: %s", path, message);
  return false;
}

static bool
ld_read_arrival (struct json_object *object, struct ld_arrival *arrival,
                 GError **error)
{
  static const char *const names[]
      = { "poisson", "burst", "swing", "replay", NULL };
  int32_t kind;

  arrival->factor = 10;
  arrival->rise_s = 5;
  if (!ld_fields_read (object, "arrival", arrival_fields, arrival, error))
    return false;
  kind = ld_read_kind (object, "arrival", names, error);
  if (kind < 0)
    return false;
  arrival->kind = (enum ld_arrival_kind)kind;
  if (kind == LD_REPLAY)
    return arrival->file != NULL
           || ld_set_error (error, "arrival", "missing file");
  if (kind == LD_BURST && (arrival->burst == 0 || arrival->every_ms == 0))
    return ld_set_error (error, "arrival",
                         "burst and every_ms must be positive");
  if (kind != LD_BURST && arrival->rate <= 0)
    return ld_set_error (error, "arrival", "rate must be positive");
  return true;
}

static void
ld_mix_free (gpointer memory)
{
  struct ld_mix *mix = memory;

  g_free (mix->name);
  g_free (mix->class_name);
  g_free (mix->tally);
  g_ptr_array_free (mix->names, TRUE);
  if (mix->popularity != NULL)
    gsl_ran_discrete_free (mix->popularity);
  g_free (mix->method);
  g_free (mix->path);
  g_free (mix->marker);
  g_free (mix);
}

/* Set the popularity of name I to 1 / (I + 1) ^ skew.  */
static void
ld_mix_set_popularity (struct ld_mix *mix)
{
  double *weights = g_new (double, mix->names->len);

  for (guint i = 0; i < mix->names->len; i++)
    weights[i] = pow (i + 1, -mix->skew);
  mix->popularity = gsl_ran_discrete_preproc (mix->names->len, weights);
  g_free (weights);
}

static struct ld_mix *
ld_mix_new (void)
{
  struct ld_mix *mix = g_new0 (struct ld_mix, 1);

  mix->names = g_ptr_array_new_with_free_func (g_free);
  mix->weight = 1;
  mix->tokens_min = 8;
  mix->tokens_max = 32;
  mix->long_factor = 50;
  mix->prompt_bytes = 64;
  mix->stream = true;
  mix->method = g_strdup ("POST");
  mix->path = g_strdup ("/call");
  mix->deadline_ms = 10000;
  return mix;
}

static bool
ld_read_mix (struct json_object *object, struct ld_experiment *experiment,
             GError **error)
{
  static const char *const names[] = { "completion", "chat", "service", NULL };
  struct ld_mix *mix = ld_mix_new ();
  int32_t kind;

  g_ptr_array_add (experiment->mix, mix);
  if (!ld_fields_read (object, "mix", mix_fields, mix, error))
    return false;
  kind = ld_read_kind (object, "mix", names, error);
  if (kind < 0)
    return false;
  mix->kind = (enum ld_kind)kind;
  if (mix->names->len == 0)
    return ld_set_error (error, "mix", "missing models or services");
  if (mix->tokens_min == 0 || mix->tokens_max < mix->tokens_min
      || mix->long_factor == 0)
    return ld_set_error (error, "mix",
                         "invalid tokens_min, tokens_max or long_factor");
  if (mix->name == NULL)
    mix->name = g_strdup (names[kind]);
  mix->tally
      = g_strdup (mix->class_name != NULL ? mix->class_name : mix->name);
  ld_mix_set_popularity (mix);
  return true;
}

static bool
ld_read_mix_list (struct json_object *list, struct ld_experiment *experiment,
                  GError **error)
{
  if (!json_object_is_type (list, json_type_array)
      || json_object_array_length (list) == 0)
    return ld_set_error (error, "mix", "must be a non-empty list");
  for (size_t i = 0; i < json_object_array_length (list); i++)
    if (!ld_read_mix (json_object_array_get_idx (list, i), experiment, error))
      return false;
  return true;
}

static bool
ld_read_experiment (struct json_object *object,
                    struct ld_experiment *experiment, GError **error)
{
  if (!ld_fields_read (object, "experiment", experiment_fields, experiment,
                       error)
      || !ld_read_arrival (json_object_object_get (object, "arrival"),
                           &experiment->arrival, error)
      || !ld_read_mix_list (json_object_object_get (object, "mix"), experiment,
                            error))
    return false;
  if (experiment->duration_s <= 0
      || experiment->duration_s > LD_DURATION_MAX_S)
    return ld_set_error (error, "duration_s",
                         "must be more than 0 and at most 3600");
  if (experiment->requests_max == 0
      || experiment->requests_max > LD_REQUESTS_MAX)
    return ld_set_error (error, "requests_max", "must be 1 to 5000000");
  return true;
}

/* Parse TEXT, JSON with comments, and return the experiment, or NULL with
   ERROR set.  */
struct ld_experiment *
ld_experiment_parse (const char *text, GError **error)
{
  struct ld_experiment *experiment = g_new0 (struct ld_experiment, 1);
  enum json_tokener_error json_error;
  struct json_object *object = json_tokener_parse_verbose (text, &json_error);
  bool ok;

  experiment->seed = 1;
  experiment->duration_s = 10;
  experiment->requests_max = 100000;
  experiment->in_flight_max = 20000;
  experiment->targets = g_ptr_array_new_with_free_func (g_free);
  experiment->mix = g_ptr_array_new_with_free_func (ld_mix_free);
  if (object == NULL)
    ok = ld_set_error (error, "experiment",
                       json_tokener_error_desc (json_error));
  else
    ok = ld_read_experiment (object, experiment, error);
  json_object_put (object);
  if (ok)
    return experiment;
  ld_experiment_free (experiment);
  return NULL;
}

/* Return the experiment in FILE, or NULL with ERROR set.  */
struct ld_experiment *
ld_experiment_load (const char *file, GError **error)
{
  struct ld_experiment *experiment;
  char *text;

  if (!g_file_get_contents (file, &text, NULL, error))
    return NULL;
  experiment = ld_experiment_parse (text, error);
  g_free (text);
  if (experiment == NULL)
    g_prefix_error (error, "%s: ", file);
  return experiment;
}

void
ld_experiment_free (struct ld_experiment *experiment)
{
  if (experiment == NULL)
    return;
  g_ptr_array_free (experiment->targets, TRUE);
  g_ptr_array_free (experiment->mix, TRUE);
  g_free (experiment->arrival.file);
  g_free (experiment);
}
