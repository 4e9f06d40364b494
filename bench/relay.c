#include "relay_client.h"
#include "relay_upstream.h"

#include "libmangofork/server.h"
#include "libmangofork/socket.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define OPEN_STREAMS 1000
#define TTFT_TARGET_MS 0.5
#define TOKENS_TARGET 200000.0
/* Growth that the allocator's own unevenness may cause over the whole run. */
#define GROWTH_TARGET_KB 1024
#define MEMORY_CALLERS 64
#define BODY_BYTES 512

/* What is run. Times are in microseconds. */
typedef struct
{
  uint64_t seed;
  bool quick;
  const char *part; /* NULL for all */
  uint32_t n_probes;
  uint32_t n_requests;
  uint32_t n_tokens;
} Options;

typedef struct
{
  uint16_t callers;
  uint16_t admin;
  uint16_t peer;
  uint16_t prefill;
  uint16_t decode[RELAY_N_DECODES];
  uint16_t platform;
  uint16_t tcp_proxy;
} Ports;

typedef struct
{
  Options options;
  Ports ports;
  struct ev_loop *loop;
  pid_t upstream;
  pid_t server;
  pid_t tcp_proxy;
  char results[1024];
} Bench;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  Options *options = state->input;

  if (key == 's')
    options->seed = strtoull (arg, NULL, 10);
  else if (key == 'q')
    options->quick = true;
  else if (key == 'p')
    options->part = arg;
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

static const struct argp_option argp_options[] = {
  { .name = "seed", .key = 's', .arg = "N", .doc = "Seed of the run" },
  { .name = "quick", .key = 'q', .doc = "A tenth of the work" },
  { .name = "part", .key = 'p', .arg = "NAME", .doc = "Only memory, ttft, light, paced or flood" },
  { 0 },
};
static const struct argp parser = {
  .options = argp_options,
  .parser = parse_option,
  .doc = "Measures what the process adds to a direct connection.",
};

static uint16_t
find_free_port (void)
{
  MfError error = { 0 };
  int fd = mf_socket_listen ("127.0.0.1:0", &error);
  uint16_t port = mf_socket_port (fd);

  close (fd);
  return port;
}

static void
ports_init (Ports *ports)
{
  ports->callers = find_free_port ();
  ports->admin = find_free_port ();
  ports->peer = find_free_port ();
  ports->prefill = find_free_port ();
  ports->platform = find_free_port ();
  ports->tcp_proxy = find_free_port ();
  for (int i = 0; i < RELAY_N_DECODES; i++)
    ports->decode[i] = find_free_port ();
}

static void
address_set (char address[MF_ADDRESS_BYTES], uint16_t port)
{
  snprintf (address, MF_ADDRESS_BYTES, "127.0.0.1:%u", port);
}

/* The life of the child that is measured. */
static void
server_run (const Bench *bench)
{
  static const char text[]
      = "{\"name\":\"bench-1\",\"data_centre\":\"a\",\"listen\":\"127.0.0.1:1\","
        "\"admin\":\"127.0.0.1:1\",\"peer\":\"127.0.0.1:1\","
        "\"platform\":{\"address\":\"127.0.0.1:1\"}}";
  MfSettings settings;
  MfError error = { 0 };
  MfServer *server;

  if (!mf_settings_parse (text, sizeof text - 1, &settings, NULL, NULL))
    exit (1);
  address_set (settings.listen, bench->ports.callers);
  address_set (settings.admin, bench->ports.admin);
  address_set (settings.peer, bench->ports.peer);
  address_set (settings.platform, bench->ports.platform);
  settings.options.drain_grace_us = 0;
  settings.options.drain_limit_us = MF_US_PER_S;
  server = mf_server_new (&settings, &error);
  if (server == NULL)
    {
      fprintf (stderr, "relay: %s\n", error.text);
      exit (1);
    }
  mf_server_run (server);
  mf_server_free (server);
}

/* Starts a child that ends with this process. */
static pid_t
child_fork (void)
{
  pid_t child = fork ();

  if (child == 0)
    prctl (PR_SET_PDEATHSIG, SIGKILL);
  return child;
}

static void
children_start (Bench *bench)
{
  bench->upstream = child_fork ();
  if (bench->upstream == 0)
    {
      relay_upstream_run (bench->ports.prefill, bench->ports.decode, bench->ports.platform);
      exit (0);
    }
  bench->tcp_proxy = child_fork ();
  if (bench->tcp_proxy == 0)
    {
      relay_tcp_proxy_run (bench->ports.tcp_proxy, bench->ports.decode[0]);
      exit (0);
    }
  usleep (200000);
  bench->server = child_fork ();
  if (bench->server == 0)
    {
      server_run (bench);
      exit (0);
    }
}

static void
children_stop (Bench *bench)
{
  pid_t children[] = { bench->server, bench->tcp_proxy, bench->upstream };

  for (size_t i = 0; i < MF_ARRAY_LEN (children); i++)
    {
      kill (children[i], SIGTERM);
      waitpid (children[i], NULL, 0);
    }
}

/* Seconds of processor time a child has used. */
static double
cpu_s (pid_t pid)
{
  clockid_t clock;
  struct timespec used = { 0 };

  if (clock_getcpuclockid (pid, &clock) == 0)
    clock_gettime (clock, &used);
  return (double)used.tv_sec + (double)used.tv_nsec / 1e9;
}

static long
resident_kb (pid_t pid)
{
  char path[64];
  long pages = 0;
  long resident = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  file = fopen (path, "r");
  if (file == NULL || fscanf (file, "%ld %ld", &pages, &resident) != 2)
    resident = 0;
  if (file != NULL)
    fclose (file);
  return resident * (sysconf (_SC_PAGESIZE) / 1024);
}

/* A body that asks for tokens; directly, it stands for the decode after a prefill. */
static void
body_write (char body[BODY_BYTES], bool direct, bool stream, uint32_t n_tokens, uint32_t gap_us)
{
  snprintf (body, BODY_BYTES,
            "{\"model\":\"m\",\"prompt\":\"a short prompt\",\"max_tokens\":%u,\"stream\":%s,"
            "\"bench_gap_us\":%u%s}",
            n_tokens, stream ? "true" : "false", gap_us,
            direct ? ",\"kv_transfer_params\":{\"do_remote_prefill\":true}" : "");
}

static void
on_failure (RelayClient *client, void *data)
{
  (void)client;
  (void)data;
  fprintf (stderr, "relay: a connection broke\n");
  exit (1);
}

/* Many streams at once. */
typedef struct
{
  struct ev_loop *loop;
  RelayClient *clients[OPEN_STREAMS];
  uint32_t n_clients;
  uint32_t n_first_tokens;
  uint32_t n_done;
  uint32_t n_first_wanted;
} Streams;

static void
streams_on_first_token (RelayClient *client, void *data)
{
  Streams *streams = data;

  (void)client;
  if (++streams->n_first_tokens == streams->n_first_wanted)
    ev_break (streams->loop, EVBREAK_ALL);
}

static void
streams_on_complete (RelayClient *client, void *data)
{
  Streams *streams = data;

  (void)client;
  if (++streams->n_done == streams->n_clients)
    ev_break (streams->loop, EVBREAK_ALL);
}

static void
streams_start (Streams *streams, struct ev_loop *loop, uint16_t port, const char *body)
{
  static const RelayClientCallbacks callbacks = { .on_first_token = streams_on_first_token,
                                                  .on_complete = streams_on_complete,
                                                  .on_failure = on_failure };

  streams->loop = loop;
  streams->n_clients = OPEN_STREAMS;
  for (uint32_t i = 0; i < OPEN_STREAMS; i++)
    {
      streams->clients[i] = relay_client_new (loop, port, &callbacks, streams);
      relay_client_send (streams->clients[i], body, true);
    }
}

/* Ends the connections and returns the tokens that arrived. */
static uint64_t
streams_close (Streams *streams)
{
  uint64_t n_tokens = 0;

  for (uint32_t i = 0; i < streams->n_clients; i++)
    {
      n_tokens += relay_client_tokens (streams->clients[i]);
      relay_client_free (streams->clients[i]);
    }
  return n_tokens;
}

/* One probe after another on one connection; directly, a prefill and then a decode. */
typedef struct
{
  struct ev_loop *loop;
  RelayClient *prefill; /* NULL through the process */
  RelayClient *decode;
  char body[BODY_BYTES];
  double start_s;
  double *first_ms;
  uint32_t n_probes;
  uint32_t n_measured;
} Probe;

static void
probe_send (Probe *probe)
{
  probe->start_s = relay_clock_s ();
  if (probe->prefill != NULL)
    relay_client_send (probe->prefill, probe->body, false);
  else
    relay_client_send (probe->decode, probe->body, true);
}

static void
probe_on_first_token (RelayClient *client, void *data)
{
  Probe *probe = data;

  if (client == probe->decode && probe->n_measured < probe->n_probes)
    probe->first_ms[probe->n_measured++] = (relay_clock_s () - probe->start_s) * 1000;
}

static void
probe_on_complete (RelayClient *client, void *data)
{
  Probe *probe = data;

  if (client == probe->prefill)
    relay_client_send (probe->decode, probe->body, true);
  else
    ev_break (probe->loop, EVBREAK_ALL);
}

static void
probe_open (Probe *probe, const Bench *bench, bool direct)
{
  static const RelayClientCallbacks callbacks = { .on_first_token = probe_on_first_token,
                                                  .on_complete = probe_on_complete,
                                                  .on_failure = on_failure };

  *probe = (Probe){ .loop = bench->loop, .n_probes = bench->options.n_probes };
  probe->first_ms = calloc (probe->n_probes, sizeof *probe->first_ms);
  body_write (probe->body, direct, true, 2, 0);
  if (direct)
    probe->prefill = relay_client_new (bench->loop, bench->ports.prefill, &callbacks, probe);
  probe->decode = relay_client_new (
      bench->loop, direct ? bench->ports.decode[0] : bench->ports.callers, &callbacks, probe);
}

static int
compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static double
quantile (const Probe *probe, double share)
{
  return probe->first_ms[(uint32_t)(share * (double)(probe->n_measured - 1))];
}

static void
probe_close (Probe *probe)
{
  if (probe->prefill != NULL)
    relay_client_free (probe->prefill);
  relay_client_free (probe->decode);
  free (probe->first_ms);
}

/* Keeps a result for the end of the output. */
static void
result (Bench *bench, const char *name, double value, double target, bool met)
{
  size_t used = strlen (bench->results);

  snprintf (bench->results + used, sizeof bench->results - used, "RESULT %s %.3f %.3f %s\n", name,
            value, target, met ? "met" : "missed");
}

/* First-token times, the two ways in turns, while many streams are open. */
static double
measure_ttft (Bench *bench)
{
  Streams *streams = calloc (1, sizeof *streams);
  Probe probes[2];
  char body[BODY_BYTES];
  double added_ms;

  streams->n_first_wanted = OPEN_STREAMS;
  body_write (body, false, true, 20000, 50000);
  streams_start (streams, bench->loop, bench->ports.callers, body);
  ev_run (bench->loop, 0);
  probe_open (&probes[0], bench, false);
  probe_open (&probes[1], bench, true);
  for (uint32_t i = 0; i < 2 * bench->options.n_probes; i++)
    {
      probe_send (&probes[i % 2]);
      ev_run (bench->loop, 0);
    }
  for (int i = 0; i < 2; i++)
    {
      qsort (probes[i].first_ms, probes[i].n_measured, sizeof (double), compare);
      printf ("first token, %s, %u open streams: p50 %.3f ms, p99 %.3f ms (%u probes)\n",
              i == 0 ? "through the process" : "direct", OPEN_STREAMS, quantile (&probes[i], 0.5),
              quantile (&probes[i], 0.99), probes[i].n_measured);
    }
  printf ("added at p50: %.3f ms\n", quantile (&probes[0], 0.5) - quantile (&probes[1], 0.5));
  added_ms = quantile (&probes[0], 0.99) - quantile (&probes[1], 0.99);
  probe_close (&probes[0]);
  probe_close (&probes[1]);
  streams_close (streams);
  free (streams);
  return added_ms;
}

/* Tokens that one core of a child carries a second, over streams that run to their end. */
static double
measure_tokens (Bench *bench, bool direct, uint32_t gap_us, const char *what)
{
  Streams *streams = calloc (1, sizeof *streams);
  pid_t pid = direct ? bench->tcp_proxy : bench->server;
  uint64_t wanted = (uint64_t)OPEN_STREAMS * bench->options.n_tokens;
  char body[BODY_BYTES];
  double cpu = cpu_s (pid);
  double wall = relay_clock_s ();
  double rate;
  uint64_t n_tokens;

  body_write (body, direct, true, bench->options.n_tokens, gap_us);
  streams_start (streams, bench->loop, direct ? bench->ports.tcp_proxy : bench->ports.callers,
                 body);
  ev_run (bench->loop, 0);
  cpu = cpu_s (pid) - cpu;
  wall = relay_clock_s () - wall;
  n_tokens = streams_close (streams);
  free (streams);
  rate = (double)n_tokens / cpu;
  printf ("%s, %s: %llu of %llu tokens in %.2f s, %.2f s of processor time, %.0f tokens/s a core\n",
          what, direct ? "bare copy" : "through the process", (unsigned long long)n_tokens,
          (unsigned long long)wanted, wall, cpu, rate);
  return n_tokens == wanted ? rate : 0;
}

/* Requests one after another on several connections. */
typedef struct
{
  struct ev_loop *loop;
  char bodies[2][BODY_BYTES]; /* whole and streamed */
  uint32_t n_wanted;
  uint32_t n_sent;
  uint32_t n_done;
} RequestRun;

static void
request_run_next (RelayClient *client, RequestRun *run)
{
  bool stream = run->n_sent % 2 == 1;

  if (run->n_sent == run->n_wanted)
    return;
  relay_client_send (client, run->bodies[stream], stream);
  run->n_sent++;
}

static void
request_run_complete (RelayClient *client, void *data)
{
  RequestRun *run = data;

  if (++run->n_done == run->n_wanted)
    ev_break (run->loop, EVBREAK_ALL);
  request_run_next (client, run);
}

static void
request_run (Bench *bench, uint32_t n_requests)
{
  static const RelayClientCallbacks callbacks
      = { .on_complete = request_run_complete, .on_failure = on_failure };
  RequestRun run = { .loop = bench->loop, .n_wanted = n_requests };
  RelayClient *clients[MEMORY_CALLERS];

  body_write (run.bodies[0], false, false, 2, 0);
  body_write (run.bodies[1], false, true, 2, 0);
  for (int i = 0; i < MEMORY_CALLERS; i++)
    {
      clients[i] = relay_client_new (bench->loop, bench->ports.callers, &callbacks, &run);
      request_run_next (clients[i], &run);
    }
  ev_run (bench->loop, 0);
  for (int i = 0; i < MEMORY_CALLERS; i++)
    relay_client_free (clients[i]);
}

static long
measure_memory (Bench *bench)
{
  uint32_t n = bench->options.n_requests;
  long before;
  long after;
  double cpu;

  request_run (bench, n / 5);
  before = resident_kb (bench->server);
  cpu = cpu_s (bench->server);
  request_run (bench, n);
  after = resident_kb (bench->server);
  cpu = cpu_s (bench->server) - cpu;
  printf ("memory: %ld kB after %u requests, %ld kB after %u more; %.1f us of processor time a "
          "request\n",
          before, n / 5, after, n, cpu / n * 1e6);
  return after - before;
}

static bool
part_is_selected (const Bench *bench, const char *part)
{
  return bench->options.part == NULL || strcmp (bench->options.part, part) == 0;
}

static void
run_memory (Bench *bench)
{
  long growth_kb = measure_memory (bench);

  result (bench, "relay_growth_kb", (double)growth_kb, GROWTH_TARGET_KB,
          growth_kb <= GROWTH_TARGET_KB);
}

static void
run_ttft (Bench *bench)
{
  double added_ms = measure_ttft (bench);

  result (bench, "relay_ttft_added_p99_ms", added_ms, TTFT_TARGET_MS, added_ms <= TTFT_TARGET_MS);
}

static void
run_tokens (Bench *bench, uint32_t gap_us, const char *what, const char *name)
{
  double rate;

  measure_tokens (bench, true, gap_us, what);
  rate = measure_tokens (bench, false, gap_us, what);
  result (bench, name, rate, TOKENS_TARGET, rate >= TOKENS_TARGET);
}

static void
run_paced (Bench *bench)
{
  run_tokens (bench, 10000, "a token every 10 ms on each stream", "relay_tokens_per_core_paced");
}

/* The load of the first-token part, for what a token costs when few are read at once. */
static void
run_light (Bench *bench)
{
  uint32_t n_tokens = bench->options.n_tokens;

  bench->options.n_tokens = n_tokens / 10;
  measure_tokens (bench, true, 50000, "a token every 50 ms on each stream");
  measure_tokens (bench, false, 50000, "a token every 50 ms on each stream");
  bench->options.n_tokens = n_tokens;
}

static void
run_flood (Bench *bench)
{
  run_tokens (bench, 0, "tokens as fast as they go", "relay_tokens_per_core_flood");
}

typedef struct
{
  const char *name;
  void (*run) (Bench *bench);
} Part;

static const Part parts[] = {
  { "memory", run_memory }, { "ttft", run_ttft },   { "light", run_light },
  { "paced", run_paced },   { "flood", run_flood },
};

int
main (int argc, char **argv)
{
  Bench bench = { .options = { .seed = 1 } };

  argp_parse (&parser, argc, argv, 0, NULL, &bench.options);
  bench.options.n_probes = bench.options.quick ? 300 : 3000;
  bench.options.n_requests = bench.options.quick ? 10000 : 100000;
  bench.options.n_tokens = bench.options.quick ? 100 : 1000;
  ports_init (&bench.ports);
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  children_start (&bench);
  bench.loop = ev_loop_new (EVFLAG_AUTO);
  usleep (1500000);
  for (size_t i = 0; i < MF_ARRAY_LEN (parts); i++)
    {
      if (part_is_selected (&bench, parts[i].name))
        parts[i].run (&bench);
    }
  children_stop (&bench);
  fputs (bench.results, stdout);
  ev_loop_destroy (bench.loop);
  return 0;
}
