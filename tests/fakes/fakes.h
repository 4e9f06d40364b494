#ifndef FAKES_H
#define FAKES_H

#include "engine_model.h"
#include "http.h"

#include <json-c/json.h>

typedef struct FakeEngineHttp FakeEngineHttp; /* serves an engine model over HTTP */
typedef struct FakePlain FakePlain;           /* upstream of a plain service */
typedef struct FakePlatform FakePlatform;     /* the platform's key-value and health APIs */
typedef struct FakePeerProxy FakePeerProxy;   /* TCP proxy before an instance's peer port */

uint64_t fake_now_us (void);

/* Each new engine adds itself to the list, in which engines look up the source of a KV import by
 * name. */
FakeEngineHttp *fake_engine_http_new (struct ev_loop *loop, FakeEngineHttp **list,
                                      json_object *settings);
void fake_engine_http_free (FakeEngineHttp *engine);
const char *fake_engine_http_name (const FakeEngineHttp *engine);
FakeEngineHttp *fake_engine_http_next (FakeEngineHttp *engine);
json_object *fake_engine_http_ledger (const FakeEngineHttp *engine);
bool fake_engine_http_fault (FakeEngineHttp *engine, const char *kind, uint64_t value);

FakePlain *fake_plain_new (struct ev_loop *loop, FakePlain **list, json_object *settings);
void fake_plain_free (FakePlain *plain);
const char *fake_plain_name (const FakePlain *plain);
FakePlain *fake_plain_next (FakePlain *plain);
json_object *fake_plain_ledger (const FakePlain *plain);
bool fake_plain_fault (FakePlain *plain, const char *kind, uint64_t value);

FakePlatform *fake_platform_new (struct ev_loop *loop, json_object *settings);
void fake_platform_free (FakePlatform *platform);
uint16_t fake_platform_port (const FakePlatform *platform);
json_object *fake_platform_ledger (const FakePlatform *platform);
bool fake_platform_fault (FakePlatform *platform, const char *kind, uint64_t value);
/* Publishes a new revision of the operators' text, or a new list of instances (a JSON array).
 * Returns false if the list is no JSON array. */
void fake_platform_set_text (FakePlatform *platform, const char *text);
bool fake_platform_set_list (FakePlatform *platform, const char *list);

FakePeerProxy *fake_peer_proxy_new (struct ev_loop *loop, FakePeerProxy **list,
                                    json_object *settings);
void fake_peer_proxy_free (FakePeerProxy *proxy);
const char *fake_peer_proxy_name (const FakePeerProxy *proxy);
FakePeerProxy *fake_peer_proxy_next (FakePeerProxy *proxy);
bool fake_peer_proxy_fault (FakePeerProxy *proxy, const char *kind, const char *from);
/* Closes the port and resets all connections, as if no process listened there; or listens again. */
void fake_peer_proxy_set_refusing (FakePeerProxy *proxy, bool refuses);

void fake_add_number (json_object *object, const char *key, uint64_t value);
void fake_add_text (json_object *object, const char *key, const char *value);

/* Read a value from the settings of a stand-in; default_value is returned if it is absent. */
uint64_t fake_setting (json_object *settings, const char *key, uint64_t default_value);
const char *fake_setting_text (json_object *settings, const char *key, const char *default_value);

#endif
