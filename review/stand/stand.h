/* Stand-ins for the cases of this review: the platform's store, runners and clients, as threads of
 * one program that also starts the daemons as processes. Loopback only, on free ports. */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Seconds since the program's start, on the monotonic clock. */
double now_s (void);
void sleep_s (double seconds);
/* Writes a line to record.txt, with the time, and to standard output. */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Opens record.txt and sets a limit for the whole run, after which it ends with status 2. */
void stand_start (const char *record_path, unsigned limit_s);
/* Ends all daemons and the program. 0: the rule held, 1: it was broken, 2: the case could not run.
 */
void stand_exit (int status) __attribute__ ((noreturn));
/* Ends the program with status 2. */
void cannot_run (const char *format, ...) __attribute__ ((format (printf, 1, 2), noreturn));
/* Whether the case runs with its disruption: TROUBLE is not 0. */
bool has_trouble (void);

/* The store. */
typedef struct Store Store;
Store *store_new (void);
unsigned store_port (const Store *store);
void store_put (Store *store, const char *key, const char *value);
void store_remove (Store *store, const char *key);

/* One message on a connection; the strings are NUL-terminated copies. */
typedef struct
{
  char *head; /* with its empty line */
  char *body;
  size_t body_bytes;
  int status;      /* of a response */
  bool complete;   /* by its framing */
  bool reset;      /* the connection was reset before its end */
  bool has_length; /* or chunks */
} Message;

void message_free (Message *message);
/* Copies the value of a header; false if there is none. */
bool message_header (const Message *message, const char *name, char *value, size_t value_bytes);

/* A listener that runs a function in a thread for each connection. */
typedef void (*ConnFunc) (int fd, void *data);
unsigned server_start (ConnFunc func, void *data);
/* The same with a small receive buffer, so that long requests are not taken at once. */
unsigned server_start_small (ConnFunc func, void *data, int receive_bytes);
/* Reads a request. Returns false at the end of the connection. */
bool read_request (int fd, Message *request);
/* Reads only the head of a request. */
bool read_request_head (int fd, Message *request);
bool send_all (int fd, const void *bytes, size_t n_bytes);
bool send_text (int fd, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
void close_with_reset (int fd);

/* Clients. */
int client_connect (unsigned port);
/* Reads a response to its end, for timeout_s at most. */
void read_response (int fd, Message *response, double timeout_s);

/* A daemon: "target/mangofork relay", as the deploy file says. */
typedef struct
{
  pid_t pid;
  unsigned front;
  unsigned readiness;
  unsigned control;
  char settings[256];
  char log[256];
} Daemon;

unsigned free_port (void);
void daemon_prepare (Daemon *daemons, unsigned n_daemons, unsigned store);
void daemon_start (Daemon *daemon);
/* Whether the daemon has ended; status is then that of waitpid. Its id isn't used any more. */
bool daemon_has_ended (Daemon *daemon, int *status);
void daemon_wait_ready (const Daemon *daemon);
/* Returns the memory of its own that the process has resident, in kilobytes: without its program,
 * libraries and files. */
long daemon_resident_kb (const Daemon *daemon);

#endif
