#ifndef MF_FAIR_H
#define MF_FAIR_H

#include "types.h"

/* Start-time fair queueing over the customers of one service: which customer's request is to get
 * the next slot. It addresses a customer that sends a multiple of its usual requests, so that all
 * wait for slots. */
typedef struct MfFair MfFair;

/* Flows, at most. A flow is a customer at a priority. */
#define MF_FAIR_FLOWS_MAX 256
/* The least urgent priority. */
#define MF_FAIR_PRIORITY_MAX 255

/* The place of a flow's requests in the order; mf_fair_compare compares two. */
typedef struct
{
  bool is_starved; /* and this grant goes to a starved flow */
  uint32_t priority;
  bool is_excess; /* its customer has had its usual load and its equal share */
  uint64_t lead;  /* tokens from the start tag of the first flow of its priority */
} MfFairRank;

MfFair *mf_fair_new (void);
void mf_fair_free (MfFair *fair);
uint32_t mf_fair_start (MfFair *fair, uint64_t customer, uint32_t priority, uint64_t now_us);
void mf_fair_finish (MfFair *fair, uint32_t flow, uint64_t cost, uint64_t now_us);
void mf_fair_fail (MfFair *fair, uint32_t flow, uint64_t now_us);
void mf_fair_leave (MfFair *fair, uint32_t flow);
void mf_fair_refuse (MfFair *fair, uint64_t customer, uint32_t priority, uint64_t now_us);
uint32_t mf_fair_find (const MfFair *fair, uint64_t customer, uint32_t priority);
MfFairRank mf_fair_rank (MfFair *fair, uint32_t flow);
int mf_fair_compare (const MfFairRank *one, const MfFairRank *other);
bool mf_fair_can_serve (const MfFair *fair, uint32_t flow, uint32_t n_before, uint64_t left_us,
                        uint64_t now_us, uint64_t *wait_us);

#endif
