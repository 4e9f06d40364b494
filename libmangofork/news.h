#ifndef MF_NEWS_H
#define MF_NEWS_H

#include "core.h"

/* Tells the fleet something this instance learnt itself. Repeats of what is known cost nothing. */
void mf_news_note (MfCore *core, MfNewsKind kind, uint64_t subject, uint64_t value);

#endif
