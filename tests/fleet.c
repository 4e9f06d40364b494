#include "fleet.h"

#include "fakes/ports.h"

#include "libmangofork/buffer.h"
#include "libmangofork/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_MS 10
/* A wait that takes longer than this fails the test. */
#define WAIT_MAX_US (60 * MF_US_PER_S)
#define UPSTREAMS_PER_POOL 3
#define TAG_BYTES 32
#define TAIL_BYTES 400

static const FakePortRange port_range = { .first_port = 27000, .n_blocks = 24, .block_ports = 40 };

/* Port numbers, relative to the first port of the fleet. */
enum
{
  PORT_CONTROL = 0,
  PORT_PLATFORM = 1,
  PORT_LISTEN = 2,
  PORT_ADMIN = 6,
  PORT_PEER = 10,
  PORT_PEER_PROXY = 14,
  PORT_PREFILL = 18,
  PORT_DECODE = 22,
  PORT_PLAIN = 26,
};

struct Caller
{
  Fleet *fleet;
  CURL *easy;
  struct curl_slist *headers;
  MfBuffer body;
  char outcome[24];
  char tag[TAG_BYTES];
  unsigned n_tokens;
  long status;
  bool ended;
  bool failed;
  Caller *next;
};

struct Fleet
{
  char dir[64];
  unsigned port;
  pid_t fakes;
  pid_t instances[FLEET_N_INSTANCES + 1];
  CURLM *multi;
  Caller *callers;
};

/* Returns the first port of the process's fleets, which do not run at the same time. */
static unsigned
find_ports (void)
{
  static unsigned port;

  if (port == 0)
    port = fake_ports_claim (&port_range);
  if (port == 0)
    fail_msg ("no block of ports is free");
  return port;
}

static FILE *
create_file (const Fleet *fleet, const char *name)
{
  char path[128];
  FILE *file;

  snprintf (path, sizeof path, "%s/%s", fleet->dir, name);
  file = fopen (path, "w");
  assert_non_null (file);
  return file;
}

static void
write_pool (const Fleet *fleet, FILE *file, char prefix, unsigned port, const char *extra_fields)
{
  for (unsigned i = 1; i <= UPSTREAMS_PER_POOL; i++)
    fprintf (file, "%s{ \"name\": \"%c%u\", \"address\": \"127.0.0.1:%u\"%s }", i > 1 ? ", " : "",
             prefix, i, fleet->port + port + i, extra_fields);
}

static void
write_text (const Fleet *fleet, FILE *file, unsigned tbt_target_ms)
{
  static const char plain[] = ", \"data_centre\": \"a\", \"slots\": 32";
  static const char engine[]
      = ", \"data_centre\": \"a\", \"engine\": \"openai\", \"slots\": 20, \"pieces\": 200";

  fprintf (file,
           "{ \"services\": [ { \"name\": \"reports\", \"kind\": \"model\", \"model\": \"m\","
           " \"class\": \"summary\", \"prefill_pool\": \"prefill\", \"decode_pool\": \"decode\","
           " \"deadline_ms\": 60000, \"ttft_target_ms\": 1500, \"tbt_target_ms\": %u,"
           " \"kv_token_bytes\": 131072, \"expected_tokens\": 60 },"
           " { \"name\": \"stock\", \"kind\": \"plain\", \"path\": \"/stock\", \"class\": \"read\","
           " \"pool\": \"ordering\", \"get_is_idempotent\": true, \"deadline_ms\": 5000 },"
           " { \"name\": \"orders\", \"kind\": \"plain\", \"path\": \"/orders\","
           " \"class\": \"order\", \"pool\": \"ordering\", \"deadline_ms\": 10000 } ],"
           " \"pools\": [ { \"name\": \"prefill\", \"role\": \"prefill\", \"upstreams\": [",
           tbt_target_ms);
  write_pool (fleet, file, 'p', PORT_PREFILL, engine);
  fputs ("] }, { \"name\": \"decode\", \"role\": \"decode\", \"upstreams\": [", file);
  write_pool (fleet, file, 'd', PORT_DECODE, engine);
  fputs ("] }, { \"name\": \"ordering\", \"role\": \"plain\", \"upstreams\": [", file);
  write_pool (fleet, file, 'o', PORT_PLAIN, plain);
  fputs ("] } ], \"allow_anonymous\": true, \"idempotency\": { \"voters\":"
         " [\"entry-1\", \"entry-2\", \"entry-3\"], \"voters_per_key\": 3, \"key_life_s\": 900 } }",
         file);
}

static void
write_fakes (const Fleet *fleet)
{
  FILE *file = create_file (fleet, "fakes.json");

  fprintf (file, "{ \"control\": \"127.0.0.1:%u\", \"engines\": [", fleet->port + PORT_CONTROL);
  write_pool (fleet, file, 'p', PORT_PREFILL, ", \"role\": \"prefill\", \"restart_ms\": 300");
  fputs (", ", file);
  write_pool (fleet, file, 'd', PORT_DECODE,
              ", \"role\": \"decode\", \"restart_ms\": 300, \"result_life_ms\": 600000");
  fputs ("], \"plain\": [", file);
  write_pool (fleet, file, 'o', PORT_PLAIN, "");
  fputs ("], \"relays\": [", file);
  for (unsigned i = 1; i <= FLEET_N_INSTANCES; i++)
    fprintf (file,
             "%s{ \"name\": \"r%u\", \"address\": \"127.0.0.1:%u\", \"to\": \"127.0.0.1:%u\" }",
             i > 1 ? ", " : "", i, fleet->port + PORT_PEER_PROXY + i, fleet->port + PORT_PEER + i);
  fprintf (file,
           "], \"platform\": { \"address\": \"127.0.0.1:%u\", \"text_file\": \"%s/text.json\","
           " \"instances\": [",
           fleet->port + PORT_PLATFORM, fleet->dir);
  for (unsigned i = 1; i <= FLEET_N_INSTANCES; i++)
    fprintf (file,
             "%s{ \"name\": \"entry-%u\", \"address\": \"127.0.0.1:%u\", \"data_centre\": \"a\" }",
             i > 1 ? ", " : "", i, fleet->port + PORT_PEER_PROXY + i);
  fputs ("] } }", file);
  fclose (file);
}

static void
write_settings (const Fleet *fleet, unsigned i)
{
  char name[32];
  FILE *file;

  snprintf (name, sizeof name, "entry-%u.json", i);
  file = create_file (fleet, name);
  fprintf (file,
           "{ \"name\": \"entry-%u\", \"data_centre\": \"a\", \"listen\": \"127.0.0.1:%u\","
           " \"admin\": \"127.0.0.1:%u\", \"peer\": \"127.0.0.1:%u\","
           " \"platform\": { \"address\": \"127.0.0.1:%u\", \"period_ms\": 500 },"
           " \"peers\": { \"address\": \"127.0.0.1:%u\", \"key_file\": \"%s/peer.key\" },"
           " \"cold_start_ms\": 500, \"drain\": { \"grace_ms\": 300, \"limit_ms\": 60000 } }",
           i, fleet->port + PORT_LISTEN + i, fleet->port + PORT_ADMIN + i,
           fleet->port + PORT_PEER + i, fleet->port + PORT_PLATFORM,
           fleet->port + PORT_PEER_PROXY + i, fleet->dir);
  fclose (file);
}

static void
write_files (const Fleet *fleet)
{
  FILE *file = create_file (fleet, "peer.key");

  for (int i = 0; i < 32; i++)
    fprintf (file, "%02x", i);
  fputs ("\n", file);
  fclose (file);
  file = create_file (fleet, "text.json");
  write_text (fleet, file, 30);
  fclose (file);
  write_fakes (fleet);
  for (unsigned i = 1; i <= FLEET_N_INSTANCES; i++)
    write_settings (fleet, i);
}

/* Starts a program that is killed when the test ends and whose output goes to a log file in the
 * fleet's directory. */
static pid_t
spawn (const Fleet *fleet, const char *log_name, char *const argv[])
{
  char log_path[128];
  pid_t pid;

  snprintf (log_path, sizeof log_path, "%s/%s.log", fleet->dir, log_name);
  fflush (NULL);
  pid = fork ();
  assert_true (pid >= 0);
  if (pid > 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (freopen (log_path, "a", stdout) == NULL || freopen (log_path, "a", stderr) == NULL)
    _exit (127);
  execv (argv[0], argv);
  _exit (127);
}

void
fleet_start (Fleet *fleet, int instance)
{
  char path[128];
  char name[32];
  char *argv[] = { MANGOFORK, "serve", "-c", path, NULL };

  snprintf (name, sizeof name, "entry-%d", instance);
  snprintf (path, sizeof path, "%s/%s.json", fleet->dir, name);
  fleet->instances[instance] = spawn (fleet, name, argv);
}

void
fleet_signal (Fleet *fleet, int instance, int signal)
{
  kill (fleet->instances[instance], signal);
  if (signal != SIGKILL)
    return;
  waitpid (fleet->instances[instance], NULL, 0);
  fleet->instances[instance] = 0;
}

static void
caller_close (Caller *caller, bool failed)
{
  curl_easy_getinfo (caller->easy, CURLINFO_RESPONSE_CODE, &caller->status);
  curl_multi_remove_handle (caller->fleet->multi, caller->easy);
  curl_easy_cleanup (caller->easy);
  caller->easy = NULL;
  caller->ended = true;
  caller->failed = failed;
}

/* Lets the callers make progress, for at most POLL_MS. */
static void
poll_callers (Fleet *fleet)
{
  CURLMsg *message;
  int n;

  curl_multi_poll (fleet->multi, NULL, 0, POLL_MS, NULL);
  curl_multi_perform (fleet->multi, &n);
  while ((message = curl_multi_info_read (fleet->multi, &n)) != NULL)
    {
      Caller *caller;
      CURLcode result = message->data.result;

      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&caller);
      caller_close (caller, result != CURLE_OK);
    }
}

void
fleet_wait_until (Fleet *fleet, FleetCondition reached, void *data)
{
  uint64_t end_us = mf_clock_now_us () + WAIT_MAX_US;

  while (mf_clock_now_us () < end_us)
    {
      if (reached (fleet, data))
        return;
      poll_callers (fleet);
    }
  fail_msg ("condition not reached within 60 s; logs are in %s", fleet->dir);
}

void
fleet_sleep_ms (Fleet *fleet, unsigned ms)
{
  uint64_t end_us = mf_clock_now_us () + ms * MF_US_PER_MS;

  while (mf_clock_now_us () < end_us)
    poll_callers (fleet);
}

static bool
has_exited (Fleet *fleet, void *data)
{
  int *instance_or_code = data;
  int status;

  if (waitpid (fleet->instances[*instance_or_code], &status, WNOHANG) <= 0)
    return false;
  fleet->instances[*instance_or_code] = 0;
  *instance_or_code = WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
  return true;
}

int
fleet_wait_exit_code (Fleet *fleet, int instance)
{
  int instance_or_code = instance;

  fleet_wait_until (fleet, has_exited, &instance_or_code);
  return instance_or_code;
}

static size_t
on_body (char *data, size_t size, size_t n, void *user)
{
  Caller *caller = user;

  /* The body is NUL-terminated; the NUL does not count as part of it. */
  mf_buffer_add (&caller->body, data, size * n);
  mf_buffer_add (&caller->body, "", 1);
  caller->body.end--;
  return size * n;
}

static size_t
on_header (char *line, size_t size, size_t n, void *user)
{
  static const char name[] = "Mangofork-Outcome: ";
  Caller *caller = user;
  size_t skip = sizeof name - 1;

  if (size * n > skip && strncasecmp (line, name, skip) == 0)
    {
      snprintf (caller->outcome, sizeof caller->outcome, "%.*s", (int)(size * n - skip),
                line + skip);
      caller->outcome[strcspn (caller->outcome, "\r\n")] = '\0';
    }
  return size * n;
}

/* Starts a request: a POST, or a GET if body is NULL. */
static Caller *
caller_new (Fleet *fleet, unsigned port, const char *path, const char *header, const char *body)
{
  Caller *caller = calloc (1, sizeof *caller);
  char url[256];

  assert_non_null (caller);
  caller->fleet = fleet;
  caller->easy = curl_easy_init ();
  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", fleet->port + port, path);
  curl_easy_setopt (caller->easy, CURLOPT_URL, url);
  curl_easy_setopt (caller->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (caller->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (caller->easy, CURLOPT_FORBID_REUSE, 1L);
  if (body != NULL)
    curl_easy_setopt (caller->easy, CURLOPT_COPYPOSTFIELDS, body);
  caller->headers = curl_slist_append (NULL, "Content-Type: application/json");
  if (header != NULL)
    caller->headers = curl_slist_append (caller->headers, header);
  curl_easy_setopt (caller->easy, CURLOPT_HTTPHEADER, caller->headers);
  curl_easy_setopt (caller->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (caller->easy, CURLOPT_WRITEDATA, caller);
  curl_easy_setopt (caller->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (caller->easy, CURLOPT_HEADERDATA, caller);
  curl_easy_setopt (caller->easy, CURLOPT_PRIVATE, caller);
  curl_multi_add_handle (fleet->multi, caller->easy);
  caller->next = fleet->callers;
  fleet->callers = caller;
  return caller;
}

static bool
caller_ended (Fleet *fleet, void *data)
{
  (void)fleet;
  return caller_has_ended (data);
}

void
caller_wait (Caller *caller)
{
  fleet_wait_until (caller->fleet, caller_ended, caller);
}

bool
caller_has_ended (const Caller *caller)
{
  return caller->ended;
}

void
caller_disconnect (Caller *caller)
{
  if (!caller->ended)
    caller_close (caller, true);
}

void
fleet_disconnect_callers (Fleet *fleet)
{
  for (Caller *caller = fleet->callers; caller != NULL; caller = caller->next)
    caller_disconnect (caller);
}

unsigned
caller_status (const Caller *caller)
{
  return (unsigned)caller->status;
}

const char *
caller_body (const Caller *caller)
{
  return mf_buffer_data (&caller->body);
}

const char *
caller_body_tail (const Caller *caller)
{
  size_t n = mf_buffer_bytes (&caller->body);

  return mf_buffer_data (&caller->body) + (n > TAIL_BYTES ? n - TAIL_BYTES : 0);
}

const char *
caller_outcome (const Caller *caller)
{
  return caller->outcome;
}

/* Returns the number of tokens received, or -1 if one is out of order or of another answer. */
static int
count_tokens (const Caller *caller)
{
  static const char key[] = "\"text\":\"";
  const char *cursor = caller_body (caller);
  int n = 0;

  while ((cursor = strstr (cursor, key)) != NULL)
    {
      cursor += sizeof key - 1;
      while (*cursor == ' ')
        {
          char expected[TAG_BYTES + 16];
          int expected_bytes = snprintf (expected, sizeof expected, " %s.%d", caller->tag, n);

          if (strncmp (cursor, expected, (size_t)expected_bytes) != 0)
            return -1;
          cursor += expected_bytes;
          n++;
        }
    }
  return n;
}

bool
caller_has_tokens (const Caller *caller, unsigned n_tokens)
{
  return count_tokens (caller) >= (int)n_tokens;
}

bool
caller_is_complete (const Caller *caller)
{
  return caller->ended && !caller->failed && caller->status == 200
         && count_tokens (caller) == (int)caller->n_tokens
         && strstr (caller_body (caller), "data: [DONE]") != NULL;
}

Caller *
fleet_send_completion (Fleet *fleet, int instance, const char *tag, unsigned n_tokens)
{
  char prompt[128];
  Caller *caller;

  snprintf (prompt, sizeof prompt, "drawer jams [tag %s] [answer %u]", tag, n_tokens);
  caller = fleet_send_prompt (fleet, instance, prompt);
  mf_name_set (caller->tag, sizeof caller->tag, tag);
  caller->n_tokens = n_tokens;
  return caller;
}

Caller *
fleet_send_prompt (Fleet *fleet, int instance, const char *prompt)
{
  char body[256];

  snprintf (body, sizeof body,
            "{ \"model\": \"m\", \"stream\": true, \"max_tokens\": 5000, \"prompt\": \"%s\" }",
            prompt);
  return caller_new (fleet, PORT_LISTEN + (unsigned)instance, "/v1/completions", NULL, body);
}

Caller *
fleet_send_order (Fleet *fleet, int instance, const char *order, const char *key)
{
  char header[128];
  char body[128];

  snprintf (header, sizeof header, "Idempotency-Key: %s", key == NULL ? "" : key);
  snprintf (body, sizeof body, "{ \"order\": \"%s\" }", order);
  return caller_new (fleet, PORT_LISTEN + (unsigned)instance, "/orders",
                     key == NULL ? NULL : header, body);
}

Caller *
fleet_send_get (Fleet *fleet, int instance, const char *path)
{
  return caller_new (fleet, PORT_LISTEN + (unsigned)instance, path, NULL, NULL);
}

static void
send_control (Fleet *fleet, const char *path, const char *body)
{
  Caller *caller = caller_new (fleet, PORT_CONTROL, path, NULL, body);

  caller_wait (caller);
  assert_int_equal (caller->status, 200);
}

void
fleet_fault (Fleet *fleet, const char *target, const char *kind, unsigned value)
{
  char path[128];

  snprintf (path, sizeof path, "/fault?target=%s&kind=%s&value=%u", target, kind, value);
  send_control (fleet, path, "");
}

void
fleet_link_fault (Fleet *fleet, int to, const char *kind, int from)
{
  char path[128];

  snprintf (path, sizeof path, "/fault?target=r%d&kind=%s&from=entry-%d", to, kind, from);
  send_control (fleet, path, "");
}

void
fleet_isolate (Fleet *fleet, int instance, bool cut)
{
  const char *kind = cut ? "cut" : "pass";

  for (int other = 1; other <= FLEET_N_INSTANCES; other++)
    {
      if (other == instance)
        continue;
      fleet_link_fault (fleet, instance, kind, other);
      fleet_link_fault (fleet, other, kind, instance);
    }
}

void
fleet_publish (Fleet *fleet, const char *text)
{
  send_control (fleet, "/text", text);
}

void
fleet_publish_tbt_target (Fleet *fleet, unsigned tbt_target_ms)
{
  char *text = NULL;
  size_t text_bytes = 0;
  FILE *file = open_memstream (&text, &text_bytes);

  assert_non_null (file);
  write_text (fleet, file, tbt_target_ms);
  fclose (file);
  fleet_publish (fleet, text);
  free (text);
}

json_object *
fleet_ledger (Fleet *fleet)
{
  Caller *caller = caller_new (fleet, PORT_CONTROL, "/ledger", NULL, NULL);
  json_object *ledger;

  caller_wait (caller);
  ledger = json_tokener_parse (caller_body (caller));
  assert_non_null (ledger);
  return ledger;
}

typedef uint64_t (*RowFunc) (json_object *row, const char *name);

static uint64_t
sum_rows (Fleet *fleet, const char *list, RowFunc func, const char *name)
{
  json_object *ledger = fleet_ledger (fleet);
  json_object *rows = json_object_object_get (ledger, list);
  uint64_t sum = 0;

  for (size_t i = 0; i < json_object_array_length (rows); i++)
    sum += func (json_object_array_get_idx (rows, i), name);
  json_object_put (ledger);
  return sum;
}

static uint64_t
row_number (json_object *row, const char *name)
{
  return json_object_get_uint64 (json_object_object_get (row, name));
}

static uint64_t
row_n_runs (json_object *row, const char *order)
{
  return row_number (json_object_object_get (row, "runs"), order);
}

static uint64_t
row_n_kv_entries (json_object *row, const char *name)
{
  return json_object_array_length (json_object_object_get (row, name));
}

uint64_t
fleet_sum_ledger (Fleet *fleet, const char *list, const char *name)
{
  return sum_rows (fleet, list, row_number, name);
}

uint64_t
fleet_n_runs (Fleet *fleet, const char *order)
{
  return sum_rows (fleet, "plain", row_n_runs, order);
}

uint64_t
fleet_n_kv_entries (Fleet *fleet)
{
  return sum_rows (fleet, "engines", row_n_kv_entries, "held");
}

static bool
has_no_kv (Fleet *fleet, void *data)
{
  (void)data;
  return fleet_n_kv_entries (fleet) == 0;
}

void
fleet_wait_kv_freed (Fleet *fleet)
{
  fleet_wait_until (fleet, has_no_kv, NULL);
}

double
fleet_counter (Fleet *fleet, int instance, const char *name)
{
  Caller *caller = caller_new (fleet, PORT_ADMIN + (unsigned)instance, "/metrics", NULL, NULL);
  size_t name_bytes = strlen (name);
  const char *line;

  caller_wait (caller);
  line = caller_body (caller);
  while (line != NULL && *line != '\0')
    {
      if (strncmp (line, name, name_bytes) == 0 && line[name_bytes] == ' ')
        return strtod (line + name_bytes, NULL);
      line = strchr (line, '\n');
      line = line == NULL ? NULL : line + 1;
    }
  return 0;
}

static bool
is_ready (Fleet *fleet, void *data)
{
  const int *instance = data;
  Caller *caller = caller_new (fleet, PORT_ADMIN + (unsigned)*instance, "/readyz", NULL, NULL);

  caller_wait (caller);
  return caller->status == 200;
}

void
fleet_wait_ready (Fleet *fleet, int instance)
{
  fleet_wait_until (fleet, is_ready, &instance);
}

static bool
peers_are_alive (Fleet *fleet, void *data)
{
  const int *instance = data;

  return fleet_counter (fleet, *instance, "mangofork_instances{state=\"alive\"}")
         >= FLEET_N_INSTANCES - 1;
}

static bool
control_answers (Fleet *fleet, void *data)
{
  Caller *caller = caller_new (fleet, PORT_CONTROL, "/ledger", NULL, NULL);

  (void)data;
  caller_wait (caller);
  return caller->status == 200;
}

static bool
order_succeeds (Fleet *fleet, void *data)
{
  const int *instance = data;
  char key[32];
  Caller *caller;

  snprintf (key, sizeof key, "warm-%d-%u", *instance, (unsigned)rand ());
  caller = fleet_send_order (fleet, *instance, "warm", key);
  caller_wait (caller);
  return caller->status == 200;
}

void
fleet_wait_voting (Fleet *fleet, int instance)
{
  fleet_wait_until (fleet, order_succeeds, &instance);
}

int
fleet_setup (void **state)
{
  Fleet *fleet = calloc (1, sizeof *fleet);
  char path[128];
  char *argv[] = { FAKES, path, NULL };

  assert_non_null (fleet);
  snprintf (fleet->dir, sizeof fleet->dir, "/tmp/mangofork-fleet-XXXXXX");
  assert_non_null (mkdtemp (fleet->dir));
  fleet->port = find_ports ();
  fleet->multi = curl_multi_init ();
  write_files (fleet);
  snprintf (path, sizeof path, "%s/fakes.json", fleet->dir);
  fleet->fakes = spawn (fleet, "fakes", argv);
  *state = fleet;
  fleet_wait_until (fleet, control_answers, NULL);
  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    fleet_start (fleet, i);
  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    fleet_wait_ready (fleet, i);
  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    fleet_wait_until (fleet, peers_are_alive, &i);
  return 0;
}

static void
end_process (pid_t pid)
{
  if (pid == 0)
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

static void
remove_files (const Fleet *fleet)
{
  static const char *const names[] = {
    "peer.key",     "text.json",    "fakes.json",  "fakes.log",   "entry-1.json",
    "entry-2.json", "entry-3.json", "entry-1.log", "entry-2.log", "entry-3.log",
  };
  char path[128];

  for (size_t i = 0; i < MF_ARRAY_LEN (names); i++)
    {
      snprintf (path, sizeof path, "%s/%s", fleet->dir, names[i]);
      unlink (path);
    }
  rmdir (fleet->dir);
}

int
fleet_teardown (void **state)
{
  Fleet *fleet = *state;

  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    end_process (fleet->instances[i]);
  end_process (fleet->fakes);
  for (Caller *caller = fleet->callers; caller != NULL;)
    {
      Caller *next = caller->next;

      caller_disconnect (caller);
      curl_slist_free_all (caller->headers);
      mf_buffer_clear (&caller->body);
      free (caller);
      caller = next;
    }
  curl_multi_cleanup (fleet->multi);
  if (getenv ("MANGOFORK_KEEP_LOGS") == NULL)
    remove_files (fleet);
  free (fleet);
  return 0;
}
