#include "platform/platform.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define ENTRY                                                                                      \
  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":64," \
  "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":4,\"born\":1781418871288"

static bool
entry_decode (const char *text, MfTargetInfo *info)
{
  MfError error = { 0 };
  bool ok = platform_decode_upstream ("i-1", text, strlen (text), info, &error);

  assert_int_equal (ok, !mf_error_is_set (&error));
  return ok;
}

static void
test_entry (void **state)
{
  MfTargetInfo info;

  (void)state;
  assert_true (entry_decode (ENTRY "}", &info));
  assert_string_equal (info.id, "i-1");
  assert_string_equal (info.service, "s");
  assert_string_equal (info.address, "10.0.0.9:80");
  assert_string_equal (info.data_centre, "z");
  assert_string_equal (info.version, "v1");
  assert_int_equal (info.role, MF_ROLE_PLAIN);
  assert_int_equal (info.slots, 64);
  assert_int_equal (info.started_ms, 1781418871288);
  assert_false (info.leaving);
  assert_true (entry_decode (ENTRY ",\"stage\":\"prefill\",\"new\":{}}", &info));
  assert_int_equal (info.role, MF_ROLE_PREFILL);
  assert_true (entry_decode (ENTRY ",\"stage\":\"decode\"}", &info));
  assert_int_equal (info.role, MF_ROLE_DECODE);
}

/* Malformed and incomplete entries are rejected. */
static void
test_entries_that_cannot_be_used (void **state)
{
  static const char *const texts[] = {
    "",
    "null",
    "[]",
    "{}",
    ENTRY,
    ENTRY "} x",
    ENTRY ",\"stage\":\"other\"}",
    ENTRY ",\"stage\":1}",
    ENTRY ",\"born\":\"soon\"}",
    ENTRY ",\"born\":1.5}",
    "{\"service\":1,\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":1,"
    "\"state\":\"ready\","
    "\"sequence\":4}",
    "{\"service\":\"s\",\"address\":\"10.0.0.9\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":1,"
    "\"state\":\"ready\","
    "\"sequence\":4}",
    "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":1,"
    "\"state\":\"gone\","
    "\"sequence\":4}",
    "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":-1,"
    "\"state\":\"ready\",\"sequence\":4}",
    "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":1,"
    "\"state\":\"ready\"}",
    "{\"service\":\"s\\u0000t\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\","
    "\"slots\":1,"
    "\"state\":\"ready\",\"sequence\":4}",
    "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":1,"
    "\"state\":\"ready\",\"sequence\":4}",
    "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"\",\"slots\":1,"
    "\"state\":\"ready\",\"sequence\":4}",
    "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":[1],\"slots\":1,"
    "\"state\":\"ready\",\"sequence\":4}",
  };
  MfTargetInfo info;

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (texts); i++)
    assert_false (entry_decode (texts[i], &info));
}

/* Another writer's odd values: each made the upstream usable, or was cut to another number. */
static void
test_entries_with_odd_values (void **state)
{
  static const char *const addresses[] = {
    "10.0.0.9:0",  "10.0.0.9:65536", "10.0.0.9:99999999999999999999",
    "10.0.0.9:-1", "10.0.0.9:80x",   "10.0.0.9:",
    "host:80",     "10.0.0.9.1:80",  "10.0.0.9:80\\r\\nX: y",
  };
  static const char *const numbers[] = {
    "\"slots\":1e999",
    "\"slots\":4294967296",
    "\"slots\":NaN",
    "\"slots\":99999999999999999999999999999999999999999999999999",
    "\"slots\":1,\"born\":1e400",
    "\"slots\":1,\"born\":99999999999999999999",
    "\"slots\":1,\"born\":9223372036854775807",
    "\"slots\":1,\"born\":999999999999999",
    "\"slots\":1,\"born\":-1",
    "\"slots\":1,\"sequence\":1e19",
  };
  static char deep[200000] = "{\"service\":";
  char text[512];
  MfTargetInfo info;

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (addresses); i++)
    {
      snprintf (text, sizeof text,
                "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"version\":\"v1\","
                "\"slots\":1,\"state\":\"ready\",\"sequence\":4}",
                addresses[i]);
      assert_false (entry_decode (text, &info));
    }
  for (size_t i = 0; i < MF_ARRAY_LEN (numbers); i++)
    {
      snprintf (text, sizeof text,
                "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\","
                "\"state\":\"ready\",\"sequence\":4,%s}",
                numbers[i]);
      assert_false (entry_decode (text, &info));
    }
  memset (deep + strlen (deep), '[', sizeof deep - 1 - strlen (deep));
  assert_false (entry_decode (deep, &info));
}

/* An id goes into the heads of requests and into paths. */
static void
test_ids_that_cannot_be_sent (void **state)
{
  static const char *const ids[]
      = { "",
          "a b",
          "a\r\nX-Deadline-Ms: 1",
          "a\tb",
          "a\x7f",
          "\xc3\xa4",
          "a\"b",
          "1234567890123456789012345678901234567890123456789012345678901234" };
  MfTargetInfo info;
  MfError error = { 0 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (ids); i++)
    assert_false (platform_decode_upstream (ids[i], ENTRY "}", strlen (ENTRY "}"), &info, &error));
}

static void
test_leaving (void **state)
{
  MfTargetInfo info;

  (void)state;
  assert_true (
      entry_decode ("{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
                    "\"version\":\"v2\",\"slots\":1,\"state\":\"draining\",\"sequence\":4}",
                    &info));
  assert_true (info.leaving);
}

#define SERVICES                                                                                   \
  "\"services\":[{\"name\":\"llm\",\"maxConnections\":360,\"engine\":{\"slots\":64,"               \
  "\"kvCapacityTokens\":100125,\"kvRetentionS\":0.5,\"stride\":58}},{\"name\":\"shop\","           \
  "\"maxConnections\":96}]"
#define LIMITS                                                                                     \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"        \
  "\"idleTimeoutMs\":15000}"

static MfRoutes *
config_read (const char *routes, MfError *error)
{
  char text[4096];

  snprintf (text, sizeof text, "{\"version\":7,\"routes\":[%s]," SERVICES "," LIMITS "}", routes);
  return platform_decode_config (text, strlen (text), error);
}

static void
test_config (void **state)
{
  MfError error = { 0 };
  MfRoutes *routes = config_read (
      "{\"name\":\"r1\",\"host\":\"h\",\"pathPrefix\":\"/a/\",\"kind\":\"streaming\","
      "\"timeoutMs\":14000,\"targetLatencyMs\":900,\"priority\":1,\"service\":\"llm\","
      "\"maxAttempts\":2,\"resumable\":true,\"targetGapMs\":300},"
      "{\"name\":\"r2\",\"host\":\"h\",\"pathPrefix\":\"/b/\",\"kind\":\"non_idempotent\","
      "\"timeoutMs\":600,\"targetLatencyMs\":100,\"trafficSplit\":[{\"service\":\"shop\","
      "\"weight\":90},{\"service\":\"llm\",\"weight\":10}],\"maxAttempts\":1}",
      &error);

  (void)state;
  assert_non_null (routes);
  assert_int_equal (routes->version, 7);
  assert_int_equal (routes->routes[0].kind, MF_ROUTE_STREAMING);
  assert_int_equal (routes->routes[0].timeout_us, 14 * MF_US_PER_S);
  assert_int_equal (routes->routes[0].target_gap_us, 300 * MF_US_PER_MS);
  assert_int_equal (routes->routes[0].attempts_max, 2);
  assert_true (routes->routes[0].resumable);
  assert_int_equal (routes->routes[1].kind, MF_ROUTE_NON_IDEMPOTENT);
  assert_int_equal (routes->routes[1].n_shares, 2);
  assert_int_equal (routes->routes[1].shares[0].service, 1);
  assert_true (routes->services[0].is_engine);
  assert_false (routes->services[1].is_engine);
  assert_int_equal (routes->services[0].kv_retention_us, 500 * MF_US_PER_MS);
  assert_int_equal (routes->services[0].event_tokens, 58);
  assert_int_equal (routes->limits.header_timeout_us, 3 * MF_US_PER_S);
  mf_routes_unref (routes);
}

/* Numbers above 32 bits were cut to their lower bits, and a weight could become 0. */
static void
test_large_numbers_are_not_cut (void **state)
{
  MfError error = { 0 };
  MfRoutes *routes = config_read (
      "{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/a/\",\"kind\":\"idempotent\","
      "\"priority\":4294967296,\"maxAttempts\":4294967297,\"trafficSplit\":[{\"service\":\"llm\","
      "\"weight\":4294967.296},{\"service\":\"shop\",\"weight\":1}]}",
      &error);

  (void)state;
  assert_non_null (routes);
  assert_int_equal (routes->routes[0].priority, UINT32_MAX);
  assert_int_equal (routes->routes[0].attempts_max, UINT32_MAX);
  assert_int_equal (routes->routes[0].shares[0].weight, UINT32_MAX);
  assert_int_equal (routes->routes[0].shares[1].weight, 1000);
  mf_routes_unref (routes);
}

static void
test_config_with_faults (void **state)
{
  static const char *const faulty[] = {
    "{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/a/\",\"kind\":\"some\",\"service\":\"llm\"}",
    "{\"name\":\"r\",\"host\":\"h\",\"kind\":\"idempotent\",\"service\":\"llm\"}",
    "{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/a/\",\"kind\":\"idempotent\","
    "\"service\":\"nobody\"}",
    "7",
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (faulty); i++)
    {
      MfError error = { 0 };

      assert_null (config_read (faulty[i], &error));
      assert_true (mf_error_is_set (&error));
      assert_true (error.text[0] != '\0');
    }
  for (size_t i = 0; i < 3; i++)
    {
      static const char *const texts[] = { "{", "{\"version\":1}", "{\"routes\":[]}" };
      MfError error = { 0 };

      assert_null (platform_decode_config (texts[i], strlen (texts[i]), &error));
      assert_true (mf_error_is_set (&error));
    }
}

static void
test_prefill_answer (void **state)
{
  static const char good[] = "{\"kvHandle\":\"3fa0\",\"tokens\":1460,\"version\":1}";
  MfPrefillAnswer answer;

  (void)state;
  assert_true (platform_dialect.read_prefill (good, strlen (good), &answer));
  assert_string_equal (answer.handle, "3fa0");
  assert_int_equal (answer.tokens, 1460);
  assert_false (platform_dialect.read_prefill (good, strlen (good) - 1, &answer));
  assert_false (platform_dialect.read_prefill ("{\"kvHandle\":7}", 14, &answer));
  assert_false (platform_dialect.read_prefill ("{\"kvHandle\":\"a\\r\\nX: y\"}", 23, &answer));
  assert_false (platform_dialect.read_prefill ("", 0, &answer));
}

static MfRoutes *
decode_customers (const char *customers, MfError *error)
{
  char text[2048];

  *error = (MfError){ 0 };
  snprintf (text, sizeof text,
            "{\"version\":3,\"tenants\":%s,\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":"
            "\"r\",\"host\":\"h\",\"pathPrefix\":\"/\",\"kind\":\"idempotent\",\"service\":\"s\","
            "\"authExempt\":true}]}",
            customers);
  return platform_decode_config (text, strlen (text), error);
}

static void
test_customers (void **state)
{
  MfError error;
  MfRoutes *routes
      = decode_customers ("[{\"name\":\"a b\",\"apiKeys\":[\"k1\",\"k2\",\"k1\"],\"priority\":0,"
                          "\"unit\":\"token_stream\",\"plainTokens\":200,\"ratePerS\":0.4,"
                          "\"burst\":315000},{\"name\":\"c\",\"unit\":\"x\"}]",
                          &error);
  const MfCustomerInfo *info;

  (void)state;
  assert_non_null (routes);
  assert_true (routes->routes[0].is_exempt);
  assert_int_equal (mf_customers_n_keys (routes->customers), 2);
  assert_int_equal (mf_customers_find (routes->customers, "k2", 2), 0);
  assert_int_equal (mf_customers_find (routes->customers, "k", 1), MF_NONE);
  info = mf_customers_get (routes->customers, 0);
  assert_string_equal (info->name, "a b");
  assert_true (info->has_priority && info->counts_tokens);
  /* A rate below one is not 0, which would be no limit. */
  assert_int_equal (info->per_s, 1);
  assert_int_equal (info->burst, 315000);
  assert_int_equal (info->plain_tokens, 200);
  info = mf_customers_get (routes->customers, 1);
  assert_false (info->has_priority || info->counts_tokens);
  assert_int_equal (info->per_s, 0);
  mf_routes_unref (routes);
  /* An empty list is a list. */
  routes = decode_customers ("[]", &error);
  assert_non_null (routes);
  assert_non_null (routes->customers);
  mf_routes_unref (routes);
}

/* A faulty list refuses the version, and the error contains no key. */
static void
test_faulty_customers (void **state)
{
  static const struct
  {
    const char *text;
    const char *why;
  } rows[] = {
    { "{}", "not a list" },
    { "null", "not a list" },
    { "[7]", "customer 1" },
    { "[{\"name\":\"\"}]", "customer 1" },
    { "[{\"name\":\"a\\r\\nX: y\"}]", "customer 1" },
    { "[{\"name\":\"a\"},{\"name\":\"a\"}]", "two customers" },
    { "[{\"name\":\"a\",\"apiKeys\":\"secret\"}]", "\"a\": \"apiKeys\"" },
    { "[{\"name\":\"a\",\"apiKeys\":[\"secret\",\"\"]}]", "key 2" },
    { "[{\"name\":\"a\",\"apiKeys\":[7]}]", "key 1" },
    { "[{\"name\":\"a\",\"apiKeys\":[\"secret\"]},{\"name\":\"b\",\"apiKeys\":[\"secret\"]}]",
      "\"b\": key 1 is also a key of customer \"a\"" },
    { "[{\"name\":\"a\",\"ratePerS\":-1}]", "\"ratePerS\"" },
    { "[{\"name\":\"a\",\"burst\":\"9\"}]", "\"burst\"" },
    { "[{\"name\":\"a\",\"priority\":null}]", "\"priority\"" },
  };
  MfError error;

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (rows); i++)
    {
      assert_null (decode_customers (rows[i].text, &error));
      assert_non_null (strstr (error.text, rows[i].why));
      assert_null (strstr (error.text, "secret"));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_entry),
    cmocka_unit_test (test_entries_that_cannot_be_used),
    cmocka_unit_test (test_entries_with_odd_values),
    cmocka_unit_test (test_ids_that_cannot_be_sent),
    cmocka_unit_test (test_leaving),
    cmocka_unit_test (test_config),
    cmocka_unit_test (test_large_numbers_are_not_cut),
    cmocka_unit_test (test_config_with_faults),
    cmocka_unit_test (test_prefill_answer),
    cmocka_unit_test (test_customers),
    cmocka_unit_test (test_faulty_customers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
