#include "rly_impl.h"
#include "unit.h"

/* Tests of the list of changes that wait to be relayed.  */

#define MANY        10000
#define KEPT_MAX    2048
#define LARGE_BYTES (32U << 10)
#define BYTES_MAX   (4U << 20)

static const struct rly_change *
nth (const struct rly_changes *changes, guint n)
{
  return g_queue_peek_nth ((GQueue *)&changes->list, n);
}

static void
keep (struct rly_changes *changes, uint32_t number, const char *value,
      size_t bytes)
{
  char key[16];

  g_snprintf (key, sizeof key, "k%u", number);
  rly_changes_keep (changes, key, RLY_PUT, number, value, bytes);
}

/* Guards against an older change that is relayed after a newer one of its
   key.  */
static void
test_order (void)
{
  struct rly_changes *changes = rly_changes_new ();

  keep (changes, 1, "a", 1);
  keep (changes, 2, "b", 1);
  keep (changes, 1, "cc", 2);
  CU_ASSERT_EQUAL (changes->list.length, 2);
  CU_ASSERT_EQUAL (changes->bytes, 3);
  CU_ASSERT_STRING_EQUAL (nth (changes, 0)->key, "k2");
  CU_ASSERT_STRING_EQUAL (nth (changes, 1)->value->str, "cc");
  rly_changes_drop_first (changes, 1);
  CU_ASSERT_STRING_EQUAL (nth (changes, 0)->key, "k1");
  keep (changes, 2, "d", 1);
  CU_ASSERT_EQUAL (changes->list.length, 2);
  rly_changes_clear (changes);
  CU_ASSERT_EQUAL (changes->list.length, 0);
  CU_ASSERT_EQUAL (changes->bytes, 0);
  keep (changes, 2, "e", 1);
  CU_ASSERT_EQUAL (changes->list.length, 1);
  rly_changes_free (changes);
}

/* Guards against a process that runs out of memory because another writer
   changes many keys, or writes large values, between two batches.  */
static void
test_limits (void)
{
  struct rly_changes *changes = rly_changes_new ();
  char *large = g_strnfill (LARGE_BYTES, 'x');

  for (uint32_t i = 0; i < MANY; i++)
    keep (changes, i, "v", 1);
  CU_ASSERT_EQUAL (changes->list.length, KEPT_MAX);
  CU_ASSERT_EQUAL (nth (changes, KEPT_MAX - 1)->revision, MANY - 1);
  for (uint32_t i = 0; i < KEPT_MAX; i++)
    keep (changes, i, large, LARGE_BYTES);
  CU_ASSERT_TRUE (changes->bytes <= BYTES_MAX);
  CU_ASSERT_EQUAL (nth (changes, changes->list.length - 1)->revision,
                   KEPT_MAX - 1);
  g_free (large);
  rly_changes_free (changes);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "order", test_order }, { "limits", test_limits }, { NULL, NULL } };

  return unit_main ("rly_changes", tests);
}
