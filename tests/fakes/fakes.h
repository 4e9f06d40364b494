#ifndef FAKES_H
#define FAKES_H

#include "engine_model.h"
#include "http.h"

#include <json-c/json.h>

typedef struct FakeEngineHttp FakeEngineHttp; /* engine_http.c */
typedef struct FakePlain FakePlain;           /* plain_http.c */
typedef struct FakePlatform FakePlatform;     /* platform_http.c */
typedef struct FakePeerProxy FakePeerProxy;   /* relay.c: stands before an instance's peer port */

uint64_t fake_now_us (void);

/* Engines find each other's KV cache by name, through the list they share. */
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
/* Publishes a new revision of the text, or a new list of instances (a JSON array). */
void fake_platform_set_text (FakePlatform *platform, const char *text);
bool fake_platform_set_list (FakePlatform *platform, const char *list);

FakePeerProxy *fake_peer_proxy_new (struct ev_loop *loop, FakePeerProxy **list,
                                    json_object *settings);
void fake_peer_proxy_free (FakePeerProxy *proxy);
const char *fake_peer_proxy_name (const FakePeerProxy *proxy);
FakePeerProxy *fake_peer_proxy_next (FakePeerProxy *proxy);
bool fake_peer_proxy_fault (FakePeerProxy *proxy, const char *kind, const char *from);
/* Resets its links and refuses new ones, as if nothing listened there; or takes them again. */
void fake_peer_proxy_set_refusing (FakePeerProxy *proxy, bool refuses);

void fake_add_number (json_object *object, const char *key, uint64_t value);
void fake_add_text (json_object *object, const char *key, const char *value);

/* Values of a stand-in's settings, with a default. */
uint64_t fake_setting (json_object *settings, const char *key, uint64_t default_value);
const char *fake_setting_text (json_object *settings, const char *key, const char *default_value);

#endif
