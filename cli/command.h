#ifndef CLI_COMMAND_H
#define CLI_COMMAND_H

#include "libmangofork/error.h"

/* Exit codes of every command. */
#define EXIT_FAULTY 1 /* invalid configuration, or the operation failed */
#define EXIT_USAGE 2  /* invalid command line */

/* Runs a command; argv[0] is its name. Returns the exit code. */
typedef int (*CommandFunc) (int argc, char **argv);

int command_serve (int argc, char **argv);
int command_check (int argc, char **argv);
int command_digest (int argc, char **argv);
int command_status (int argc, char **argv);
int command_report (int argc, char **argv);
int command_explain (int argc, char **argv);
int command_place (int argc, char **argv);
int command_relay (int argc, char **argv);

/* Reads a file or, for "-", standard input, to its end. Prints a message and returns NULL on
 * failure. The caller frees the text. */
char *command_read_file (const char *path, size_t *text_bytes);
/* Prints one configuration fault; data is the path of the file. An MfFaultFunc. */
void command_print_fault (const MfError *fault, void *data);

#endif
