#ifndef MF_MULTI_H
#define MF_MULTI_H

#include "error.h"

#include <curl/curl.h>
#include <ev.h>

/* libcurl's multi interface on a libev loop. */
typedef struct MfMulti MfMulti;

typedef struct
{
  /* A transfer has ended; its easy handle is still added. Optional hooks are NULL. */
  void (*on_done) (CURL *easy, CURLcode result, void *data);
  /* libcurl is off the stack: transfers may be added, removed and unpaused. Optional. */
  void (*on_deferred) (void *data);
} MfMultiHooks;

MfMulti *mf_multi_new (struct ev_loop *loop, const MfMultiHooks *hooks, void *data, MfError *error);
/* Every transfer must have been removed. Accepts NULL. */
void mf_multi_free (MfMulti *multi);
CURLM *mf_multi_handle (MfMulti *multi);
bool mf_multi_add (MfMulti *multi, CURL *easy);
void mf_multi_remove (MfMulti *multi, CURL *easy);
/* Lets a paused transfer go on. What it had buffered arrives before this returns. */
void mf_multi_unpause (MfMulti *multi, CURL *easy);
/* Has on_deferred called from the loop, soon. */
void mf_multi_schedule_deferred (MfMulti *multi);

/* What every transfer here has in common: plain HTTP/1.1, no redirect, no proxy, no signal. */
void mf_multi_set_common (CURL *easy);

#endif
