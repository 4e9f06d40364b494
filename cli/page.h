#ifndef CLI_PAGE_H
#define CLI_PAGE_H

#include "command.h"

#include <stdbool.h>

/* Arguments of the commands that show a page of an instance. */
typedef struct
{
  const char *url;
  const char *request; /* explain only */
  const char *html;    /* report only: file for the HTML page */
  bool json;
} PageArguments;

/* A command that shows a page, and the arguments it takes besides the URL. */
typedef struct
{
  const char *name;
  const char *args_doc;
  const char *doc;
  bool takes_request;
  bool takes_html;
} PageCommand;

/* Parses the command line; exits with EXIT_USAGE if it is invalid. */
void page_parse (const PageCommand *command, int argc, char **argv, PageArguments *arguments);

#endif
