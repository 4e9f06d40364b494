#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define DAEMONS_MAX 16
#define ITEMS_MAX 64
#define HISTORY_MAX 4096

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static double started_s;
static pid_t daemon_pids[DAEMONS_MAX];
static unsigned n_daemon_pids;
static char folder[64];

static double
clock_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double
now_s (void)
{
  return clock_s () - started_s;
}

void
sleep_s (double seconds)
{
  struct timespec left
      = { .tv_sec = (time_t)seconds, .tv_nsec = (long)((seconds - (double)(time_t)seconds) * 1e9) };

  while (seconds > 0 && nanosleep (&left, &left) != 0 && errno == EINTR)
    ;
}

static void
record_v (const char *format, va_list args)
{
  char line[1024];

  vsnprintf (line, sizeof line, format, args);
  pthread_mutex_lock (&record_lock);
  printf ("%8.3f s  %s\n", now_s (), line);
  fflush (stdout);
  if (record_file != NULL)
    {
      fprintf (record_file, "%8.3f s  %s\n", now_s (), line);
      fflush (record_file);
    }
  pthread_mutex_unlock (&record_lock);
}

void
record (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  record_v (format, args);
  va_end (args);
}

void
stand_exit (int status)
{
  char path[400];

  /* Nothing is recorded after the result. */
  pthread_mutex_lock (&record_lock);
  for (unsigned i = 0; i < n_daemon_pids; i++)
    {
      if (daemon_pids[i] <= 0)
        continue;
      kill (daemon_pids[i], SIGCONT);
      kill (daemon_pids[i], SIGKILL);
      waitpid (daemon_pids[i], NULL, 0);
    }
  if (folder[0] != '\0' && getenv ("KEEP") == NULL)
    {
      for (unsigned i = 0; i < DAEMONS_MAX; i++)
        {
          snprintf (path, sizeof path, "%s/settings-%u.conf", folder, i);
          unlink (path);
          snprintf (path, sizeof path, "%s/log-%u.txt", folder, i);
          unlink (path);
        }
      rmdir (folder);
    }
  _exit (status);
}

void
cannot_run (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  record_v (format, args);
  va_end (args);
  stand_exit (2);
}

static void *
limit_thread (void *data)
{
  sleep_s (*(unsigned *)data);
  cannot_run ("the run took too long");
}

void
stand_start (const char *record_path, unsigned limit_s)
{
  static unsigned limit;
  pthread_t thread;
  const char *tmp = getenv ("TMPDIR");

  signal (SIGPIPE, SIG_IGN);
  started_s = clock_s ();
  record_file = fopen (record_path, "w");
  if (record_file == NULL)
    cannot_run ("%s cannot be written", record_path);
  snprintf (folder, sizeof folder, "%.40s/review-XXXXXX", tmp != NULL ? tmp : "/tmp");
  if (mkdtemp (folder) == NULL)
    cannot_run ("no temporary folder");
  limit = limit_s;
  pthread_create (&thread, NULL, limit_thread, &limit);
}

bool
has_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return value == NULL || strcmp (value, "0") != 0;
}

/* Sockets. */

static int
listen_any (unsigned *port, int receive_bytes)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t address_bytes = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (receive_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (fd, 512) != 0
      || getsockname (fd, (struct sockaddr *)&address, &address_bytes) != 0)
    cannot_run ("no port to listen at");
  *port = ntohs (address.sin_port);
  return fd;
}

/* Ports outside the range from which the kernel takes those of outgoing connections, so that none
 * is taken between this choice and the daemon's start. */
unsigned
free_port (void)
{
  static unsigned next;
  struct sockaddr_in address = { .sin_family = AF_INET };

  if (next == 0)
    next = 12000 + (unsigned)getpid () % 15000;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  for (unsigned i = 0; i < 2000; i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      unsigned port = next++;
      bool free;

      if (next >= 31000)
        next = 12000;
      address.sin_port = htons ((uint16_t)port);
      free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
      if (free)
        return port;
    }
  cannot_run ("no free port");
}

bool
send_all (int fd, const void *bytes, size_t n_bytes)
{
  const char *at = bytes;

  while (n_bytes > 0)
    {
      ssize_t n_sent = send (fd, at, n_bytes, MSG_NOSIGNAL);

      if (n_sent < 0 && errno == EINTR)
        continue;
      if (n_sent <= 0)
        return false;
      at += n_sent;
      n_bytes -= (size_t)n_sent;
    }
  return true;
}

bool
send_text (int fd, const char *format, ...)
{
  char text[16384];
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  return send_all (fd, text, (size_t)n);
}

void
close_with_reset (int fd)
{
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
}

/* Messages. */

void
message_free (Message *message)
{
  free (message->head);
  free (message->body);
  *message = (Message){ 0 };
}

bool
message_header (const Message *message, const char *name, char *value, size_t value_bytes)
{
  const char *line = message->head;
  size_t name_bytes = strlen (name);

  while (line != NULL && (line = strstr (line, "\r\n")) != NULL)
    {
      line += 2;
      if (strncasecmp (line, name, name_bytes) == 0 && line[name_bytes] == ':')
        {
          const char *from = line + name_bytes + 1;
          size_t n = 0;

          while (*from == ' ')
            from++;
          while (from[n] != '\r' && from[n] != '\0' && n + 1 < value_bytes)
            n++;
          memcpy (value, from, n);
          value[n] = '\0';
          return true;
        }
    }
  return false;
}

/* Reads one byte; -1: end, -2: reset or time-out. */
static int
read_byte (int fd, double until_s)
{
  unsigned char byte;

  for (;;)
    {
      struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
      double left_s = until_s - now_s ();
      ssize_t n;

      if (until_s > 0 && (left_s <= 0 || poll (&poll_fd, 1, (int)(left_s * 1000) + 1) == 0))
        return -2;
      n = recv (fd, &byte, 1, 0);
      if (n == 1)
        return byte;
      if (n == 0)
        return -1;
      if (errno != EINTR)
        return -2;
    }
}

static bool
read_head (int fd, Message *message, double until_s)
{
  size_t n = 0;
  size_t size = 4096;

  message->head = calloc (1, size);
  for (;;)
    {
      int byte = read_byte (fd, until_s);

      if (byte < 0)
        {
          message->reset = byte == -2;
          return false;
        }
      if (n + 2 > size)
        message->head = realloc (message->head, size *= 2);
      message->head[n++] = (char)byte;
      message->head[n] = '\0';
      if (n >= 4 && memcmp (message->head + n - 4, "\r\n\r\n", 4) == 0)
        return true;
    }
}

/* Appends up to n_bytes of the connection to the body. Returns false at its end. */
static bool
read_body (int fd, Message *message, size_t n_bytes, double until_s)
{
  while (n_bytes > 0)
    {
      size_t part = n_bytes < 65536 ? n_bytes : 65536;
      struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
      double left_s = until_s - now_s ();
      ssize_t n;

      message->body = realloc (message->body, message->body_bytes + part + 1);
      if (until_s > 0 && (left_s <= 0 || poll (&poll_fd, 1, (int)(left_s * 1000) + 1) == 0))
        {
          message->reset = true;
          return false;
        }
      n = recv (fd, message->body + message->body_bytes, part, 0);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        {
          message->reset = n < 0;
          return false;
        }
      message->body_bytes += (size_t)n;
      message->body[message->body_bytes] = '\0';
      n_bytes -= (size_t)n;
    }
  return true;
}

static bool
read_chunks (int fd, Message *message, double until_s)
{
  for (;;)
    {
      char line[32];
      size_t n = 0;
      size_t size;
      int byte;

      while ((byte = read_byte (fd, until_s)) >= 0 && byte != '\n')
        {
          if (n + 1 < sizeof line)
            line[n++] = (char)byte;
        }
      line[n] = '\0';
      if (byte < 0)
        {
          message->reset = byte == -2;
          return false;
        }
      size = strtoul (line, NULL, 16);
      if (size > 0 && !read_body (fd, message, size, until_s))
        return false;
      for (unsigned i = 0; i < 2; i++)
        {
          if (read_byte (fd, until_s) < 0)
            return false;
        }
      if (size == 0)
        return true;
    }
}

bool
read_request_head (int fd, Message *request)
{
  *request = (Message){ 0 };
  if (read_head (fd, request, 0))
    return true;
  message_free (request);
  return false;
}

bool
read_request (int fd, Message *request)
{
  char value[64];

  if (!read_request_head (fd, request))
    return false;
  if (message_header (request, "Content-Length", value, sizeof value)
      && !read_body (fd, request, strtoul (value, NULL, 10), 0))
    {
      message_free (request);
      return false;
    }
  return true;
}

void
read_response (int fd, Message *response, double timeout_s)
{
  double until_s = now_s () + timeout_s;
  char value[64];

  *response = (Message){ 0 };
  if (!read_head (fd, response, until_s))
    return;
  response->status = atoi (response->head + strlen ("HTTP/1.1 "));
  if (message_header (response, "Transfer-Encoding", value, sizeof value))
    {
      response->has_length = true;
      response->complete = read_chunks (fd, response, until_s);
    }
  else if (message_header (response, "Content-Length", value, sizeof value))
    {
      response->has_length = true;
      response->complete = read_body (fd, response, strtoul (value, NULL, 10), until_s);
    }
  else
    response->complete = !read_body (fd, response, SIZE_MAX, until_s) && !response->reset;
}

/* Servers. */

typedef struct
{
  int fd;
  ConnFunc func;
  void *data;
} Server;

static void *
conn_thread (void *data)
{
  Server server = *(Server *)data;

  free (data);
  server.func (server.fd, server.data);
  return NULL;
}

static void *
server_thread (void *data)
{
  Server *server = data;
  pthread_attr_t attr;

  pthread_attr_init (&attr);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attr, 262144);
  for (;;)
    {
      Server *conn = malloc (sizeof *conn);
      pthread_t thread;
      int one = 1;

      *conn = *server;
      conn->fd = accept4 (server->fd, NULL, NULL, SOCK_CLOEXEC);
      if (conn->fd < 0)
        continue;
      setsockopt (conn->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      if (pthread_create (&thread, &attr, conn_thread, conn) != 0)
        cannot_run ("no thread for a connection");
    }
  return NULL;
}

unsigned
server_start_small (ConnFunc func, void *data, int receive_bytes)
{
  Server *server = malloc (sizeof *server);
  pthread_t thread;
  unsigned port;

  *server = (Server){ .func = func, .data = data };
  server->fd = listen_any (&port, receive_bytes);
  pthread_create (&thread, NULL, server_thread, server);
  return port;
}

unsigned
server_start (ConnFunc func, void *data)
{
  return server_start_small (func, data, 0);
}

int
client_connect (unsigned port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

/* The store. */

typedef struct
{
  char key[64];
  char *value; /* NULL: removed */
  uint64_t revision;
} Item;

struct Store
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  Item items[HISTORY_MAX]; /* all changes */
  unsigned n_items;
  uint64_t revision;
  unsigned port;
};

static char *
base64 (const char *text)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t n = strlen (text);
  char *out = malloc ((n + 2) / 3 * 4 + 1);
  size_t at = 0;

  for (size_t i = 0; i < n; i += 3)
    {
      uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

      if (i + 1 < n)
        bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
      if (i + 2 < n)
        bits |= (unsigned char)text[i + 2];
      out[at++] = digits[bits >> 18];
      out[at++] = digits[bits >> 12 & 63];
      out[at++] = i + 1 < n ? digits[bits >> 6 & 63] : '=';
      out[at++] = i + 2 < n ? digits[bits & 63] : '=';
    }
  out[at] = '\0';
  return out;
}

static void
store_change (Store *store, const char *key, const char *value)
{
  Item *item;

  pthread_mutex_lock (&store->lock);
  if (store->n_items == HISTORY_MAX)
    cannot_run ("too many changes of the store");
  item = &store->items[store->n_items++];
  snprintf (item->key, sizeof item->key, "%s", key);
  item->value = value != NULL ? strdup (value) : NULL;
  item->revision = ++store->revision;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

void
store_put (Store *store, const char *key, const char *value)
{
  store_change (store, key, value);
}

void
store_remove (Store *store, const char *key)
{
  store_change (store, key, NULL);
}

static bool
is_newest (const Store *store, unsigned at)
{
  for (unsigned i = at + 1; i < store->n_items; i++)
    {
      if (strcmp (store->items[i].key, store->items[at].key) == 0)
        return false;
    }
  return true;
}

static void
print_item (FILE *out, const Item *item)
{
  char *value = item->value != NULL ? base64 (item->value) : NULL;

  if (value == NULL)
    fprintf (out, "{\"key\":\"%s\",\"revision\":%llu,\"tombstone\":true}", item->key,
             (unsigned long long)item->revision);
  else
    fprintf (
        out, "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,\"created\":%llu,\"lease\":0}",
        item->key, value, (unsigned long long)item->revision, (unsigned long long)item->revision);
  free (value);
}

static void
query_value (const char *head, const char *name, char *value, size_t value_bytes)
{
  const char *end = strstr (head, " HTTP/");
  const char *at = strstr (head, name);
  size_t n = 0;

  value[0] = '\0';
  if (at == NULL || at > end)
    return;
  at += strlen (name);
  while (at + n < end && at[n] != '&' && n + 1 < value_bytes)
    n++;
  memcpy (value, at, n);
  value[n] = '\0';
}

static void
store_answer (Store *store, const Message *request, FILE *out)
{
  char value[64];

  if (strncmp (request->head, "GET /kv-key", 11) == 0)
    {
      query_value (request->head, "key=", value, sizeof value);
      for (unsigned i = 0; i < store->n_items; i++)
        {
          const Item *item = &store->items[i];
          char *text;

          if (strcmp (item->key, value) != 0 || item->value == NULL || !is_newest (store, i))
            continue;
          text = base64 (item->value);
          fprintf (
              out,
              "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,\"created\":%llu,\"lease\":0,"
              "\"asOf\":%llu}",
              item->key, text, (unsigned long long)item->revision,
              (unsigned long long)item->revision, (unsigned long long)store->revision);
          free (text);
        }
      return;
    }
  query_value (request->head, "pathPrefix=", value, sizeof value);
  if (strncmp (request->head, "GET /kv-range", 13) == 0)
    {
      bool any = false;

      fprintf (out, "{\"items\":[");
      for (unsigned i = 0; i < store->n_items; i++)
        {
          if (strncmp (store->items[i].key, value, strlen (value)) != 0
              || store->items[i].value == NULL || !is_newest (store, i))
            continue;
          fprintf (out, "%s", any ? "," : "");
          print_item (out, &store->items[i]);
          any = true;
        }
      fprintf (out, "],\"morePages\":false,\"asOf\":%llu}", (unsigned long long)store->revision);
      return;
    }
  if (strncmp (request->head, "GET /kv-watch", 13) == 0)
    {
      char number[32];
      uint64_t after;
      struct timespec until;
      double wait_s;
      bool any = false;

      query_value (request->head, "after=", number, sizeof number);
      after = strtoull (number, NULL, 10);
      query_value (request->head, "waitMs=", number, sizeof number);
      wait_s = strtod (number, NULL) / 1000;
      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_sec += (time_t)wait_s;
      until.tv_nsec += (long)((wait_s - (double)(time_t)wait_s) * 1e9);
      if (until.tv_nsec >= 1000000000)
        {
          until.tv_sec++;
          until.tv_nsec -= 1000000000;
        }
      while (store->revision <= after
             && pthread_cond_timedwait (&store->changed, &store->lock, &until) == 0)
        ;
      fprintf (out, "{\"events\":[");
      for (unsigned i = 0; i < store->n_items; i++)
        {
          if (store->items[i].revision <= after)
            continue;
          fprintf (out, "%s", any ? "," : "");
          print_item (out, &store->items[i]);
          any = true;
        }
      fprintf (out, "],\"asOf\":%llu}", (unsigned long long)store->revision);
    }
}

static void
store_conn (int fd, void *data)
{
  Store *store = data;
  Message request;

  while (read_request (fd, &request))
    {
      char *text = NULL;
      size_t text_bytes = 0;
      FILE *out = open_memstream (&text, &text_bytes);

      pthread_mutex_lock (&store->lock);
      store_answer (store, &request, out);
      pthread_mutex_unlock (&store->lock);
      fclose (out);
      message_free (&request);
      if (!send_text (
              fd, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
              text_bytes > 0 ? "200 OK" : "404 Not Found", text_bytes > 0 ? text_bytes : 2)
          || !send_all (fd, text_bytes > 0 ? text : "{}", text_bytes > 0 ? text_bytes : 2))
        {
          free (text);
          break;
        }
      free (text);
    }
  close (fd);
}

Store *
store_new (void)
{
  Store *store = calloc (1, sizeof *store);

  pthread_mutex_init (&store->lock, NULL);
  pthread_cond_init (&store->changed, NULL);
  store->port = server_start (store_conn, store);
  return store;
}

unsigned
store_port (const Store *store)
{
  return store->port;
}

/* Daemons. */

void
daemon_prepare (Daemon *daemons, unsigned n_daemons, unsigned store)
{
  for (unsigned i = 0; i < n_daemons; i++)
    {
      daemons[i].front = free_port ();
      daemons[i].readiness = free_port ();
      daemons[i].control = free_port ();
    }
  for (unsigned i = 0; i < n_daemons; i++)
    {
      Daemon *daemon = &daemons[i];
      unsigned metrics = free_port ();
      FILE *file;

      snprintf (daemon->settings, sizeof daemon->settings, "%s/settings-%u.conf", folder, i);
      snprintf (daemon->log, sizeof daemon->log, "%s/log-%u.txt", folder, i);
      file = fopen (daemon->settings, "w");
      if (file == NULL)
        cannot_run ("%s cannot be written", daemon->settings);
      fprintf (file,
               "node=front-pl-central-a-%u\nrole=relay\nmachineClass=front\nserves=front,control\n"
               "ip=127.0.0.1\nzone=pl-central-a\nregion=pl-central\nzones.pl-central-a=pl-central\n"
               "listen.front=127.0.0.1:%u\nlisten.readiness=127.0.0.1:%u\n"
               "listen.control=127.0.0.1:%u\ninternalPorts=%u,%u\nseeds=",
               i + 1, daemon->front, daemon->readiness, daemon->control, metrics, metrics);
      for (unsigned j = 0; j < n_daemons && j < 3; j++)
        fprintf (file, "%s127.0.0.1:%u", j > 0 ? "," : "", daemons[j].control);
      fprintf (file,
               "\nbootstrap=true\ninTolerance=false\nlimits.cpuShare=0.25\nlimits.cores=1\n"
               "limits.memoryMb=110\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
               "discovery=platform\nentry=vip\nheartbeatMs=1200\n"
               "contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform\n"
               "faultTolerance.machines=2\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n"
               "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\n"
               "bounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\n"
               "bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\n"
               "bounds.maxStretchMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
               "bounds.retryBudgetSlack=52\nbounds.recoveryS=12\nbounds.transitMs=120\n"
               "bounds.reuseWindowS=3\nbounds.fenceRequired=true\nbounds.leaseMs=3000\n"
               "bounds.thawMs=300\nprovider.address=127.0.0.1:%u\nprovider.form=read\n"
               "provider.writesPerS=400\nprovider.readsPerS=2000\nprovider.historyS=20\n"
               "provider.valueBytes=1048576\nprovider.minTtlMs=1000\n",
               store);
      fclose (file);
    }
}

void
daemon_start (Daemon *daemon)
{
  pid_t pid = fork ();

  if (pid == 0)
    {
      FILE *log = freopen (daemon->log, "a", stdout);

      /* It ends with this program, however that ends. */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      setenv ("MANGOFORK_SETTINGS", daemon->settings, 1);
      if (log != NULL)
        execl ("target/mangofork", "target/mangofork", "relay", (char *)NULL);
      _exit (127);
    }
  if (pid < 0 || n_daemon_pids == DAEMONS_MAX)
    cannot_run ("a daemon could not be started");
  daemon->pid = pid;
  daemon_pids[n_daemon_pids++] = pid;
}

bool
daemon_has_ended (Daemon *daemon, int *status)
{
  if (daemon->pid <= 0 || waitpid (daemon->pid, status, WNOHANG) != daemon->pid)
    return false;
  for (unsigned i = 0; i < n_daemon_pids; i++)
    {
      if (daemon_pids[i] == daemon->pid)
        daemon_pids[i] = 0;
    }
  daemon->pid = 0;
  return true;
}

void
daemon_wait_ready (const Daemon *daemon)
{
  for (unsigned i = 0; i < 100; i++)
    {
      int fd = client_connect (daemon->readiness);
      Message response = { 0 };
      bool is_ready;

      if (fd >= 0)
        {
          send_text (fd, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
          read_response (fd, &response, 1);
          close (fd);
        }
      is_ready = response.status == 200;
      message_free (&response);
      if (is_ready)
        return;
      sleep_s (0.1);
    }
  cannot_run ("a daemon does not become ready");
}

long
daemon_resident_kb (const Daemon *daemon)
{
  char path[64];
  char line[256];
  long kb = -1;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)daemon->pid);
  file = fopen (path, "r");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    sscanf (line, "RssAnon: %ld kB", &kb);
  if (file != NULL)
    fclose (file);
  return kb;
}
