#include "news.h"

void
mf_news_note (MfCore *core, MfNewsKind kind, uint64_t subject, uint64_t value)
{
  (void)core;
  (void)kind;
  (void)subject;
  (void)value;
}

const MfController mf_news_controller = { .name = "news" };
