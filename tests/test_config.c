#include "libmangofork/config.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define FAULTS_MAX 64

typedef struct
{
  MfError faults[FAULTS_MAX];
  uint32_t n_faults;
} Faults;

static void
record_fault (const MfError *fault, void *data)
{
  Faults *faults = data;

  assert_true (faults->n_faults < FAULTS_MAX);
  faults->faults[faults->n_faults++] = *fault;
}

static MfConfig *
parse (const char *text, Faults *faults)
{
  *faults = (Faults){ 0 };
  return mf_config_parse (text, strlen (text), 1, record_fault, faults);
}

static bool
has_fault (const Faults *faults, MfCode code, uint32_t line, uint32_t column)
{
  for (uint32_t i = 0; i < faults->n_faults; i++)
    {
      const MfError *fault = &faults->faults[i];

      if (fault->code == code && fault->line == line && fault->column == column)
        return true;
    }
  for (uint32_t i = 0; i < faults->n_faults; i++)
    print_message ("%u:%u: %d %s\n", faults->faults[i].line, faults->faults[i].column,
                   (int)faults->faults[i].code, faults->faults[i].text);
  return false;
}

static char *
read_example (const char *name, size_t *bytes)
{
  char path[256];
  char *text;
  FILE *file;

  snprintf (path, sizeof path, "%s/examples/%s", SOURCE_ROOT, name);
  file = fopen (path, "r");
  assert_non_null (file);
  text = calloc (1, 65536);
  assert_non_null (text);
  *bytes = fread (text, 1, 65535, file);
  fclose (file);
  return text;
}

static void
test_example_is_read (void **state)
{
  Faults faults = { 0 };
  size_t bytes;
  char *text = read_example ("text.json", &bytes);
  MfConfig *config = mf_config_parse (text, bytes, 7, record_fault, &faults);

  (void)state;
  assert_int_equal (faults.n_faults, 0);
  assert_non_null (config);
  assert_int_equal (config->revision, 7);
  assert_int_equal (config->text_bytes, bytes);
  assert_int_equal (config->n_services, 3);
  assert_int_equal (config->n_upstreams, 4);
  assert_int_equal (config->services[0].deadline_us, 60 * MF_US_PER_S);
  assert_int_equal (config->services[2].depends[0], 1);
  assert_int_equal (config->services[1].ttft_target_us, 200 * MF_US_PER_MS);
  assert_int_equal (config->upstreams[0].link_bytes_per_s, UINT64_C (10000000000));
  assert_string_equal (config->upstreams[3].engine, "plain");
  assert_int_equal (config->voters_per_key, 3);
  mf_config_free (config);
  free (text);
}

static void
test_lookups (void **state)
{
  size_t bytes;
  char *text = read_example ("text.json", &bytes);
  MfConfig *config = mf_config_parse (text, bytes, 1, NULL, NULL);
  const uint8_t zeros[MF_DIGEST_BYTES] = { 0 };
  const uint8_t ones[MF_DIGEST_BYTES] = { 1 };
  char path[300] = "/orders/";

  (void)state;
  assert_non_null (config);
  memset (path + 8, 'x', sizeof path - 9);
  assert_int_equal (mf_config_find_model (config, "parts-7b"), 0);
  assert_int_equal (mf_config_find_model (config, "parts"), MF_NONE);
  assert_int_equal (mf_config_find_path (config, "/stock"), 1);
  assert_int_equal (mf_config_find_path (config, "/stock/?item=1/2"), 1);
  assert_int_equal (mf_config_find_path (config, "/orders/17/lines"), 2);
  assert_int_equal (mf_config_find_path (config, path), 2);
  assert_int_equal (mf_config_find_path (config, "/stocks"), MF_NONE);
  assert_int_equal (mf_config_find_path (config, "/"), MF_NONE);
  assert_int_equal (mf_config_find_customer (config, zeros), 0);
  assert_int_equal (mf_config_find_customer (config, ones), MF_NONE);
  assert_int_equal (mf_config_find_upstream (config, "d2"), 2);
  assert_int_equal (mf_config_find_service (config, "stock"), 1);
  mf_config_free (config);
  free (text);
}

#define POOLS                                                                                      \
  "\"pools\": [ { \"name\": \"plain\", \"role\": \"plain\", \"upstreams\": [] },\n"                \
  "  { \"name\": \"pre\", \"role\": \"prefill\", \"upstreams\": [] } ]"
#define SERVICE(name, path, rest)                                                                  \
  "{ \"name\": \"" name "\", \"kind\": \"plain\", \"class\": \"read\", \"path\": \"" path          \
  "\", \"pool\": \"plain\", \"deadline_ms\": 5" rest " }"

typedef struct
{
  const char *text;
  MfCode code;
  uint32_t line;
  uint32_t column;
} BadText;

static const BadText bad_texts[] = {
  { "", MF_CODE_TEXT_SYNTAX, 1, 1 },
  { "{ \"services\": [],\n \"pools\": [", MF_CODE_TEXT_SYNTAX, 2, 12 },
  { "{ \"services\": [],\n \"pools\": [], }", MF_CODE_TEXT_SYNTAX, 2, 15 },
  { "{ /* open", MF_CODE_TEXT_SYNTAX, 1, 3 },
  { "[]", MF_CODE_TEXT_TYPE, 1, 1 },
  { "{ \"services\": [], \"pools\": [] } x", MF_CODE_TEXT_SYNTAX, 1, 33 },
  { "{ \"services\": [], \"services\": [], \"pools\": [] }", MF_CODE_TEXT_DUPLICATE, 1, 19 },
  { "{ \"services\": [] }", MF_CODE_TEXT_MISSING, 1, 1 },
  { "{ \"services\": 3, \"pools\": [] }", MF_CODE_TEXT_TYPE, 1, 15 },
  { "{ \"services\": [ null ], \"pools\": [] }", MF_CODE_TEXT_TYPE, 1, 17 },
  { "{ // żółć \"\n \"services\": [], \"pools\": [], /* é */ \"pool\": 1 }",
    MF_CODE_TEXT_UNKNOWN_KEY, 2, 39 },
  { "{ \"services\": [], \"pools\": [], \"weight_store_kb_per_s\": 1 }", MF_CODE_TEXT_UNKNOWN_KEY,
    1, 32 },
  { "{ \"services\": [\n" SERVICE ("a", "/a", ", \"deadline_s\": 5") "], " POOLS " }",
    MF_CODE_TEXT_TYPE, 2, 99 },
  { "{ \"services\": [\n" SERVICE ("a", "/a", ", \"ttft_target_ms\": \"5ms\"") "], " POOLS " }",
    MF_CODE_TEXT_TYPE, 2, 117 },
  { "{ \"services\": [\n" SERVICE ("a", "/a", ", \"ttft_target_ms\": 0") "], " POOLS " }",
    MF_CODE_TEXT_RANGE, 2, 117 },
  { "{ \"services\": [\n" SERVICE ("a", "/a", ", \"model\": \"m\"") "], " POOLS " }",
    MF_CODE_TEXT_UNKNOWN_KEY, 2, 99 },
  { "{ \"services\": [\n" SERVICE ("a", "a", "") "], " POOLS " }", MF_CODE_TEXT_RANGE, 2, 58 },
  { "{ \"services\": [\n" SERVICE ("a", "/a", "") ",\n" SERVICE ("a", "/b", "") "], " POOLS " }",
    MF_CODE_TEXT_DUPLICATE, 3, 11 },
  { "{ \"services\": [\n" SERVICE ("a", "/a", "") ",\n" SERVICE ("b", "/a", "") "], " POOLS " }",
    MF_CODE_TEXT_DUPLICATE, 3, 58 },
  { "{ \"services\": [\n" SERVICE ("a", "/a", ", \"depends_on\": [\"c\"]") "], " POOLS " }",
    MF_CODE_TEXT_MISSING, 2, 114 },
  { "{ \"services\": [\n" SERVICE ("a", "/a", ", \"depends_on\": [\"b\"]") ",\n" SERVICE (
        "b", "/b", ", \"depends_on\": [\"a\"]") "], " POOLS " }",
    MF_CODE_TEXT_CYCLE, 3, 113 },
  { "{ \"services\": [\n" SERVICE ("a", "/a", ", \"depends_on\": [\"a\"]") "], " POOLS " }",
    MF_CODE_TEXT_CYCLE, 2, 113 },
  { "{ \"services\": [ { \"name\": \"a\", \"kind\": \"plain\", \"class\": \"read\", \"path\": "
    "\"/a\",\n"
    "\"pool\": \"pre\", \"deadline_ms\": 5 } ], " POOLS " }",
    MF_CODE_TEXT_TYPE, 2, 9 },
  { "{ \"services\": [ { \"name\": \"a\", \"kind\": \"plain\", \"class\": \"read\", \"path\": "
    "\"/a\",\n"
    "\"pool\": \"none\", \"deadline_ms\": 5 } ], " POOLS " }",
    MF_CODE_TEXT_MISSING, 2, 9 },
  { "{ \"services\": [], \"pools\": [ { \"name\": \"p\", \"role\": \"plain\", \"upstreams\": [\n"
    "{ \"name\": \"u\", \"address\": \"host:1\", \"data_centre\": \"a\", \"slots\": 1 } ] } ] }",
    MF_CODE_TEXT_TYPE, 2, 27 },
  { "{ \"services\": [], \"pools\": [],\n \"customers\": [ { \"name\": \"c\", \"key_digest\": "
    "\"ab\" } ] "
    "}",
    MF_CODE_TEXT_TYPE, 2, 46 },
  { "{ \"services\": [], \"pools\": [],\n \"idempotency\": { \"voters\": [\"a\"], "
    "\"voters_per_key\": 3 "
    "} }",
    MF_CODE_TEXT_RANGE, 2, 54 },
  { "{ \"services\": [], \"pools\": [],\n \"idempotency\": { \"voters\": [\"a\", \"a\"] } }",
    MF_CODE_TEXT_DUPLICATE, 2, 35 },
};

static void
test_bad_texts (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (bad_texts); i++)
    {
      const BadText *bad = &bad_texts[i];
      Faults faults;

      assert_null (parse (bad->text, &faults));
      if (!has_fault (&faults, bad->code, bad->line, bad->column))
        fail_msg ("no %d at %u:%u of %s", (int)bad->code, bad->line, bad->column, bad->text);
    }
}

static void
test_all_faults_at_once (void **state)
{
  Faults faults;

  (void)state;
  assert_null (parse ("{ \"pools\": [ 1 ],\n \"x\": 1,\n \"allow_anonymous\": 1 }", &faults));
  assert_int_equal (faults.n_faults, 4);
  assert_true (has_fault (&faults, MF_CODE_TEXT_MISSING, 1, 1));
  assert_true (has_fault (&faults, MF_CODE_TEXT_TYPE, 1, 14));
  assert_true (has_fault (&faults, MF_CODE_TEXT_UNKNOWN_KEY, 2, 2));
  assert_true (has_fault (&faults, MF_CODE_TEXT_TYPE, 3, 21));
  for (uint32_t i = 1; i < faults.n_faults; i++)
    assert_true (faults.faults[i].line >= faults.faults[i - 1].line);
}

/* Duplicate keys are found both in the array of the first keys of an object and in the hash table
 * of the others. */
static void
test_duplicate_among_many_keys (void **state)
{
  char text[8192] = "{ \"services\": [], \"pools\": [], ";
  Faults faults;

  (void)state;
  for (uint32_t i = 0; i < 30; i++)
    snprintf (text + strlen (text), sizeof text - strlen (text), "\"k%u\": 1,%s", i % 29,
              i == 28 ? "\n" : "");
  snprintf (text + strlen (text), sizeof text - strlen (text), "\n\"k28\": 1 }");
  assert_null (parse (text, &faults));
  assert_true (has_fault (&faults, MF_CODE_TEXT_DUPLICATE, 2, 1));
  assert_true (has_fault (&faults, MF_CODE_TEXT_DUPLICATE, 3, 1));
}

static void
test_too_large (void **state)
{
  size_t bytes = MF_CONFIG_TEXT_BYTES_MAX + 1;
  char *text = malloc (bytes);
  Faults faults = { 0 };

  (void)state;
  assert_non_null (text);
  memset (text, ' ', bytes);
  assert_null (mf_config_parse (text, bytes, 1, record_fault, &faults));
  assert_int_equal (faults.n_faults, 1);
  assert_int_equal (faults.faults[0].code, MF_CODE_TEXT_TOO_LARGE);
  free (text);
}

/* Every truncation of a valid text, and every single byte replaced in it, is either accepted or
 * refused without a crash. */
static void
test_cut_and_changed_texts (void **state)
{
  size_t bytes;
  char *text = read_example ("text.json", &bytes);

  (void)state;
  for (size_t i = 0; i < bytes; i++)
    {
      static const char changes[] = "\"{]/\\0";
      char *copy = malloc (i + 1);
      char kept = text[i];

      assert_non_null (copy);
      memcpy (copy, text, i);
      mf_config_free (mf_config_parse (copy, i, 1, NULL, NULL));
      free (copy);
      for (const char *change = changes; *change != '\0'; change++)
        {
          text[i] = *change;
          mf_config_free (mf_config_parse (text, bytes, 1, NULL, NULL));
        }
      text[i] = kept;
    }
  free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_example_is_read),
    cmocka_unit_test (test_lookups),
    cmocka_unit_test (test_bad_texts),
    cmocka_unit_test (test_all_faults_at_once),
    cmocka_unit_test (test_duplicate_among_many_keys),
    cmocka_unit_test (test_too_large),
    cmocka_unit_test (test_cut_and_changed_texts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
