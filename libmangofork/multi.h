#ifndef MF_MULTI_H
#define MF_MULTI_H

#include "error.h"

#include <curl/curl.h>
#include <ev.h>

/* libcurl's multi interface on a libev loop. */
typedef struct MfMulti MfMulti;

typedef struct
{
  /* A transfer has ended. Its easy handle is still in the multi handle. */
  void (*on_done) (CURL *easy, CURLcode result, void *data);
  /* libcurl is off the stack, so transfers may be added, removed and unpaused. May be NULL. */
  void (*on_deferred) (void *data);
} MfMultiHooks;

MfMulti *mf_multi_new (struct ev_loop *loop, const MfMultiHooks *hooks, void *data, MfError *error);
/* All transfers must have been removed. Accepts NULL. */
void mf_multi_free (MfMulti *multi);
CURLM *mf_multi_handle (MfMulti *multi);
bool mf_multi_add (MfMulti *multi, CURL *easy);
void mf_multi_remove (MfMulti *multi, CURL *easy);
/* Resumes a paused transfer. Its buffered data is delivered before this returns. */
void mf_multi_unpause (MfMulti *multi, CURL *easy);
/* Schedules a call of on_deferred from the loop. */
void mf_multi_schedule_deferred (MfMulti *multi);

/* Sets the options that all transfers share: HTTP/1.1 without TLS, no redirects, no proxy, no
 * signals. */
void mf_multi_set_common (CURL *easy);

#endif
