#ifndef CLI_COMMAND_H
#define CLI_COMMAND_H

#include "libmangofork/error.h"

/* Exit codes of every command. */
#define EXIT_FAULTY 1 /* the text or settings have faults, or the request failed */
#define EXIT_USAGE 2  /* the command line is wrong */

/* Runs a command; argv[0] is its name. Returns the exit code. */
typedef int (*CommandFunc) (int argc, char **argv);

int command_serve (int argc, char **argv);
int command_check (int argc, char **argv);
int command_digest (int argc, char **argv);
int command_status (int argc, char **argv);
int command_report (int argc, char **argv);
int command_explain (int argc, char **argv);
int command_relay (int argc, char **argv);

/* Reads a whole file or, for "-", standard input. Prints a message and returns NULL when it cannot;
 * the caller frees the text. */
char *command_read_file (const char *path, size_t *text_bytes);
/* Prints one fault of the text in the file whose path is data; an MfFaultFunc. */
void command_print_fault (const MfError *fault, void *data);

#endif
