#include <string.h>

#include "invariants.h"
#include "unit.h"

/* Records of two engines of zone "a" with a budget of one replica of "m", and
   the expected number of violations.  */
struct record_case
{
  const char *name;
  const char *first;
  const char *second;
  uint32_t violations;
};

#define CHANGE(state, used, time)                                             \
  "{\"model\":\"m\",\"state\":\"" state "\",\"used_bytes\":" used             \
  ",\"time_us\":" time "}"
#define ENGINE(changes, more)                                                 \
  "{\"memory_bytes\":100,\"changes\":[" changes "]" more "}"
#define ORDER(fence, status)                                                  \
  "{\"order\":\"/admin/load\",\"model\":\"m\",\"fence\":\"" fence             \
  "\",\"status\":" status "}"

static const struct record_case cases[] = {
  { "one replica after the other",
    ENGINE (CHANGE ("loading", "60", "1") "," CHANGE (
                "loaded", "60", "2") "," CHANGE ("unloading", "60",
                                                 "3") "," CHANGE ("gone", "0",
                                                                  "4"),
            ""),
    ENGINE (CHANGE ("loading", "60", "4"), ""), 0 },
  { "two replicas at once",
    ENGINE (CHANGE ("loading", "60", "1") "," CHANGE ("gone", "0", "4"), ""),
    ENGINE (CHANGE ("loading", "60", "3"), ""), 1 },
  { "memory overcommitted", ENGINE (CHANGE ("loading", "101", "1"), ""),
    ENGINE ("", ""), 1 },
  { "overcommitment by adapters",
    ENGINE ("", ",\"overcommits\":[{\"used_bytes\":101}]"), ENGINE ("", ""),
    1 },
  { "records truncated", ENGINE ("", ",\"dropped\":1"), ENGINE ("", ""), 1 },
  { "stale order refused",
    ENGINE ("", ",\"orders\":[" ORDER ("18446744073709551615",
                                       "202") "," ORDER ("5", "409") "]"),
    ENGINE ("", ""), 0 },
  { "stale order executed",
    ENGINE ("", ",\"orders\":[" ORDER ("18446744073709551615",
                                       "202") "," ORDER ("5", "202") "]"),
    ENGINE ("", ""), 1 },
  { "work for a leaving engine",
    ENGINE ("", ",\"last_after_leaving_ms\":3001"), ENGINE ("", ""), 1 },
};

static void
ignore_finding (void *arg, bool violation, const char *text)
{
  (void)arg;
  (void)violation;
  CU_ASSERT_TRUE (text[0] != '\0');
}

static uint32_t
count_violations (const struct record_case *c)
{
  struct inv *inv = inv_new ();
  struct json_object *first = json_tokener_parse (c->first);
  struct json_object *second = json_tokener_parse (c->second);
  uint32_t violations;

  CU_ASSERT_PTR_NOT_NULL_FATAL (first);
  CU_ASSERT_PTR_NOT_NULL_FATAL (second);
  inv_budget (inv, "m", "a", 1);
  inv_engine (inv, "first", "a", first);
  inv_engine (inv, "second", "a", second);
  violations = inv_report (inv, ignore_finding, NULL);
  inv_free (inv);
  json_object_put (first);
  json_object_put (second);
  return violations;
}

/* Guards against a check that misses a violation or reports a correct run.  */
static void
test_engines (void)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint32_t violations = count_violations (&cases[i]);

      if (violations != cases[i].violations)
        CU_FAIL (cases[i].name);
    }
}

static uint32_t
count_key_violations (const char *runs, uint64_t run, uint64_t not_run)
{
  struct inv *inv = inv_new ();
  struct json_object *records = json_tokener_parse (runs);
  struct inv_key key
      = { .text = "k", .run = run, .sends = 1, .not_run = not_run };
  uint32_t violations;

  inv_service (inv, "service", records);
  inv_key (inv, &key);
  violations = inv_report (inv, ignore_finding, NULL);
  inv_free (inv);
  json_object_put (records);
  return violations;
}

/* Guards against a check that misses a duplicate run of a key, a wrong
   "not_run" or a response without a run.  */
static void
test_keys (void)
{
  static const char none[] = "{\"runs\":[]}";
  static const char once[] = "{\"runs\":[{\"key\":\"k\"}]}";
  static const char twice[] = "{\"runs\":[{\"key\":\"k\"},{\"key\":\"k\"}]}";

  CU_ASSERT_EQUAL (count_key_violations (once, 1, 0), 0);
  CU_ASSERT_EQUAL (count_key_violations (none, 0, 1), 0);
  CU_ASSERT_EQUAL (count_key_violations (twice, 1, 0), 1);
  CU_ASSERT_EQUAL (count_key_violations (once, 0, 1), 1);
  CU_ASSERT_EQUAL (count_key_violations (none, 1, 0), 1);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "engines", test_engines }, { "keys", test_keys }, { NULL, NULL } };

  return unit_main ("invariants", tests);
}
