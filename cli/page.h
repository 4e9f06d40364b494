#ifndef CLI_PAGE_H
#define CLI_PAGE_H

#include "command.h"

#include <stdbool.h>

/* The arguments of the commands that show a page of an instance. */
typedef struct
{
  const char *url;
  const char *request; /* explain only */
  const char *html;    /* report only: where to write the page */
  bool json;
} PageArguments;

/* Which of them a command takes beside the URL. */
typedef struct
{
  const char *name;
  const char *args_doc;
  const char *doc;
  bool takes_request;
  bool takes_html;
} PageCommand;

/* Reads the command line; ends the process when it is wrong. */
void page_parse (const PageCommand *command, int argc, char **argv, PageArguments *arguments);

#endif
