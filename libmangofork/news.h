#ifndef MF_NEWS_H
#define MF_NEWS_H

#include "core.h"

/* Tells the fleet something this instance learnt itself. Repeats of what is known cost nothing. */
void mf_news_note (MfCore *core, MfNewsKind kind, uint64_t subject, uint64_t value);

/* For the fleet's own controllers. Neighbours are named by their place. */

/* A neighbour is linked anew and may have missed anything. */
void mf_news_offer_all (MfCore *core, uint32_t neighbour);
void mf_news_withdraw (MfCore *core, uint32_t neighbour);
/* Moves at most max items for a neighbour into the digest, the most urgent first. */
void mf_news_fill (MfCore *core, uint32_t neighbour, MfDigestMessage *digest, uint32_t max);

#endif
