#ifndef RELAY_CLIENT_H
#define RELAY_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* One caller's keep-alive connection. */
typedef struct RelayClient RelayClient;

typedef struct
{
  void (*on_first_token) (RelayClient *client,
                          void *data); /* the first token has arrived; may be NULL */
  void (*on_complete) (RelayClient *client, void *data); /* the answer is whole */
  void (*on_failure) (RelayClient *client, void *data);
} RelayClientCallbacks;

RelayClient *relay_client_new (struct ev_loop *loop, uint16_t port,
                               const RelayClientCallbacks *callbacks, void *data);
void relay_client_free (RelayClient *client);
/* Sends a completion. Streams end at their end mark, whole answers at their length. */
void relay_client_send (RelayClient *client, const char *body, bool stream);
/* Tokens taken so far by all answers on this connection. */
uint64_t relay_client_tokens (const RelayClient *client);
double relay_clock_s (void);

#endif
