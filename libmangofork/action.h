#ifndef MF_ACTION_H
#define MF_ACTION_H

#include "event.h"

/* Actions that the core requests from the adapters. Pointers in an action are valid only during the
 * action function, which must not step the core. */
typedef enum
{
  MF_ACTION_CALL_START,
  MF_ACTION_CALL_ABORT,     /* close the call's connection; no more events for it */
  MF_ACTION_ANSWER_TOKENS,  /* send tokens to the caller */
  MF_ACTION_ANSWER_END,     /* the streamed or collected answer is complete */
  MF_ACTION_ANSWER_PLAIN,   /* the complete answer of a plain call */
  MF_ACTION_ANSWER_REFUSE,  /* a refusal; ends a stream that has started with an error event */
  MF_ACTION_KV_HANDLE_DROP, /* discard the call's KV handle */
  MF_ACTION_PEER_OPEN,
  MF_ACTION_PEER_CLOSE,
  MF_ACTION_PEER_SEND,
  MF_ACTION_PLATFORM_READ_TEXT, /* read the operators' text */
  MF_ACTION_PLATFORM_READ_LIST, /* read the list of instances */
  MF_ACTION_READY,
  MF_ACTION_LOG,
  MF_ACTION_EXIT,
  MF_ACTION_COUNT,
} MfActionType;

/* What a call to an upstream requests. */
typedef enum
{
  MF_CALL_PREFILL,
  MF_CALL_DECODE,
  MF_CALL_RESUME, /* continue a failed stream whose KV the engine still holds */
  MF_CALL_PLAIN,
  MF_CALL_CANCEL,       /* free what the call target_call_id holds */
  MF_CALL_CANCEL_OWNER, /* free everything of one incarnation of an instance */
  MF_CALL_LOAD,         /* read the load report and the cache events after cache_after */
  MF_CALL_ORDER,
  MF_CALL_COUNT,
} MfCallKind;

/* What an order changes at an engine. */
typedef enum
{
  MF_ORDER_MODEL,
  MF_ORDER_ADAPTER,
  MF_ORDER_VERSION,
  MF_ORDER_ROLE,
} MfOrderKind;

typedef struct
{
  uint64_t call_id;
  MfCallKind kind;
  uint32_t upstream; /* index into the board's upstreams */
  const char *address;
  const char *engine;
  uint64_t request_id; /* cancel: of the call to free; 0 for calls that serve no request */
  uint32_t attempt;
  uint32_t from_token;      /* prefill, decode, resume: tokens already delivered */
  uint32_t max_tokens;      /* decode, resume: tokens still to generate */
  uint64_t prefill_call_id; /* decode: prefill call whose KV to import */
  uint64_t target_call_id;  /* cancel */
  uint32_t target_attempt;  /* cancel: attempt of the call to free; resume: of the failed stream */
  uint64_t cache_after;     /* load: number of the last cache event seen; 0 for none */
  MfInstanceId owner;       /* cancel_owner: instance whose work to free */
  uint32_t priority;        /* lower values are more urgent */
  uint64_t cache_salt;      /* differs between customers */
  bool fresh_connection;    /* must not be sent on a reused connection */
  uint64_t timeout_us;      /* to the first byte of the answer */
  MfOrderKind order;
  char order_value[MF_NAME_BYTES];
  uint64_t fence;
} MfCallAction;

typedef struct
{
  uint64_t request_id;
  const char *data; /* tokens: JSON-escaped text; plain: the body */
  size_t data_bytes;
  uint32_t n_tokens;
  uint16_t status;
  const char *content_type;
  MfCode code;
  MfOutcome outcome;
  uint64_t retry_after_ms; /* 0 for none */
  bool replayed;           /* plain: recorded answer of an earlier call with the same key */
} MfAnswerAction;

typedef struct
{
  uint32_t link_id;             /* send, close */
  const char *name;             /* open: name of the expected peer */
  const char *address;          /* open */
  const MfPeerMessage *message; /* send */
} MfPeerAction;

/* One change of state for the log. */
typedef struct
{
  /* "upstream", "peer", "config", "request", "drain", "order", "voter", "keys" */
  const char *subject;
  const char *name;
  const char *from;
  const char *to;
  const char *reason;
} MfLogAction;

typedef struct
{
  MfActionType type;
  union
  {
    MfCallAction call;
    uint64_t call_id; /* abort, handle drop */
    MfAnswerAction answer;
    MfPeerAction peer;
    uint64_t platform_index; /* the read returns once the index exceeds this; 0: at once */
    bool ready;
    MfLogAction log;
  };
} MfAction;

typedef void (*MfActionFunc) (const MfAction *action, void *data);

#endif
