#include "jsonc.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "table.h"

/* Size of the longest path: json-c limits the depth, scan_path_add_key the length of a key. */
#define PATH_BYTES (JSON_TOKENER_DEFAULT_DEPTH * (MF_JSONC_KEY_BYTES_MAX + 16))

typedef struct
{
  MfError error;
  char *path; /* NULL when the offset is already known */
  bool at_key;
  size_t offset;
  uint32_t next; /* next fault of the same path, or MF_NONE */
} Fault;

/* Head of the list of the faults of one path. */
typedef struct
{
  const char *path;
  uint32_t fault;
  UT_hash_handle hh;
} FaultPath;

struct MfJsonc
{
  const char *original; /* borrowed */
  char *text;           /* comments replaced by spaces, so that offsets match the original */
  size_t text_bytes;
  json_object *root;
  Fault *faults;
  uint32_t n_faults;
  uint32_t n_dropped;
  FaultPath *paths;
};

/* Scanner over a text that json-c has accepted; json-c does not keep the offsets of values. */
typedef struct
{
  MfJsonc *jsonc;
  size_t offset;
  char path[PATH_BYTES];
  size_t path_bytes;
} Scan;

/* A key found in the object being scanned. */
typedef struct SeenKey SeenKey;

struct SeenKey
{
  const char *key;
  SeenKey *older;
  UT_hash_handle hh;
};

/* The keys found in one object: the first few in an array, further ones in a hash table, so that
 * both many small objects and one large object are scanned fast. */
#define SEEN_INLINE_MAX 24

typedef struct
{
  const char *inline_keys[SEEN_INLINE_MAX];
  size_t inline_key_bytes[SEEN_INLINE_MAX];
  uint32_t n_inline_keys;
  SeenKey *table;
  SeenKey *latest;
} SeenKeys;

static void
fault_add (MfJsonc *jsonc, const char *path, bool at_key, size_t offset, MfCode code,
           const char *text)
{
  Fault *faults;

  if (jsonc->n_faults >= MF_JSONC_FAULTS_MAX)
    {
      jsonc->n_dropped++;
      return;
    }
  faults = realloc (jsonc->faults, (jsonc->n_faults + 1) * sizeof *faults);
  if (faults == NULL)
    {
      jsonc->n_dropped++;
      return;
    }
  jsonc->faults = faults;
  faults[jsonc->n_faults] = (Fault){
    .path = path != NULL ? strdup (path) : NULL,
    .at_key = at_key,
    .offset = offset,
    .next = MF_NONE,
  };
  mf_error_set (&faults[jsonc->n_faults].error, code, "%s", text);
  jsonc->n_faults++;
}

/* Replaces comments by spaces, keeping line ends. Returns the offset of an unterminated comment, or
 * text_bytes. */
static size_t
comments_blank (char *text, size_t text_bytes)
{
  bool in_string = false;

  for (size_t i = 0; i < text_bytes; i++)
    {
      size_t start = i;
      bool block;

      if (text[i] == '"')
        in_string = !in_string;
      else if (in_string && text[i] == '\\')
        i++;
      if (in_string || text[i] != '/' || i + 1 >= text_bytes)
        continue;
      if (text[i + 1] != '/' && text[i + 1] != '*')
        continue;
      block = text[i + 1] == '*';
      text[i++] = ' ';
      text[i++] = ' ';
      while (i < text_bytes && (block ? text[i] != '*' || text[i + 1] != '/' : text[i] != '\n'))
        {
          if (text[i] != '\n')
            text[i] = ' ';
          i++;
        }
      if (!block)
        continue;
      if (i >= text_bytes)
        return start;
      text[i++] = ' ';
      text[i] = ' ';
    }
  return text_bytes;
}

static void
jsonc_parse (MfJsonc *jsonc)
{
  json_tokener *tokener;
  enum json_tokener_error result;
  size_t end;

  tokener = json_tokener_new ();
  if (tokener == NULL)
    {
      fault_add (jsonc, NULL, false, 0, MF_CODE_NO_MEMORY, "no memory to parse the text");
      return;
    }
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  /* json-c recognizes the end of the text by the terminating NUL. */
  jsonc->root = json_tokener_parse_ex (tokener, jsonc->text, (int)jsonc->text_bytes + 1);
  result = json_tokener_get_error (tokener);
  end = json_tokener_get_parse_end (tokener);
  if (end > jsonc->text_bytes)
    end = jsonc->text_bytes;
  if (result == json_tokener_continue)
    fault_add (jsonc, NULL, false, end, MF_CODE_TEXT_SYNTAX, "unexpected end of the text");
  else if (result != json_tokener_success)
    fault_add (jsonc, NULL, false, end, MF_CODE_TEXT_SYNTAX, json_tokener_error_desc (result));
  else if (!json_object_is_type (jsonc->root, json_type_object))
    fault_add (jsonc, NULL, false, 0, MF_CODE_TEXT_TYPE, "the text is not a JSON object");
  json_tokener_free (tokener);
  if (jsonc->n_faults > 0 && jsonc->root != NULL)
    {
      json_object_put (jsonc->root);
      jsonc->root = NULL;
    }
}

MfJsonc *
mf_jsonc_new (const char *text, size_t text_bytes)
{
  MfJsonc *jsonc = calloc (1, sizeof *jsonc);
  const char *nul = text_bytes > 0 ? memchr (text, '\0', text_bytes) : NULL;
  size_t open_comment;

  if (jsonc == NULL)
    return NULL;
  jsonc->original = text;
  jsonc->text_bytes = text_bytes > (size_t)MF_CONFIG_TEXT_BYTES_MAX ? 0 : text_bytes;
  jsonc->text = calloc (jsonc->text_bytes + 2, 1);
  if (jsonc->text == NULL)
    {
      free (jsonc);
      return NULL;
    }
  if (text_bytes > (size_t)MF_CONFIG_TEXT_BYTES_MAX)
    {
      fault_add (jsonc, NULL, false, 0, MF_CODE_TEXT_TOO_LARGE, "the text exceeds one megabyte");
      return jsonc;
    }
  memcpy (jsonc->text, text, jsonc->text_bytes);
  open_comment = comments_blank (jsonc->text, jsonc->text_bytes);
  if (nul != NULL)
    fault_add (jsonc, NULL, false, (size_t)(nul - text), MF_CODE_TEXT_SYNTAX,
               "the text contains a NUL byte");
  else if (open_comment < jsonc->text_bytes)
    fault_add (jsonc, NULL, false, open_comment, MF_CODE_TEXT_SYNTAX, "unterminated comment");
  else
    jsonc_parse (jsonc);
  return jsonc;
}

/* Accepts NULL. */
void
mf_jsonc_free (MfJsonc *jsonc)
{
  if (jsonc == NULL)
    return;
  for (uint32_t i = 0; i < jsonc->n_faults; i++)
    free (jsonc->faults[i].path);
  free (jsonc->faults);
  if (jsonc->root != NULL)
    json_object_put (jsonc->root);
  free (jsonc->text);
  free (jsonc);
}

json_object *
mf_jsonc_root (const MfJsonc *jsonc)
{
  return jsonc->root;
}

static void fault_format (MfJsonc *jsonc, const char *path, bool at_key, MfCode code,
                          const char *format, va_list args) __attribute__ ((format (printf, 5, 0)));

static void
fault_format (MfJsonc *jsonc, const char *path, bool at_key, MfCode code, const char *format,
              va_list args)
{
  char text[MF_ERROR_TEXT_BYTES];

  vsnprintf (text, sizeof text, format, args);
  fault_add (jsonc, path, at_key, 0, code, text);
}

void
mf_jsonc_fault (MfJsonc *jsonc, const char *path, MfCode code, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fault_format (jsonc, path, false, code, format, args);
  va_end (args);
}

void
mf_jsonc_fault_key (MfJsonc *jsonc, const char *path, MfCode code, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fault_format (jsonc, path, true, code, format, args);
  va_end (args);
}

static void
scan_skip_space (Scan *scan)
{
  scan->offset += strspn (scan->jsonc->text + scan->offset, " \t\r\n");
}

/* Skips a string with its quotes. */
static void
scan_skip_string (Scan *scan)
{
  const char *text = scan->jsonc->text;

  scan->offset++;
  while (text[scan->offset] != '"' && text[scan->offset] != '\0')
    scan->offset += text[scan->offset] == '\\' && text[scan->offset + 1] != '\0' ? 2 : 1;
  if (text[scan->offset] == '"')
    scan->offset++;
}

static FaultPath *
fault_path_find (const MfJsonc *jsonc, const char *path)
{
  FaultPath *row;

  HASH_FIND_STR (jsonc->paths, path, row);
  return row;
}

/* Sets the offsets of the faults recorded for the scanner's current path. */
static void
scan_set_fault_offsets (const Scan *scan, size_t key_offset, size_t value_offset)
{
  MfJsonc *jsonc = scan->jsonc;
  const FaultPath *found = jsonc->paths != NULL ? fault_path_find (jsonc, scan->path) : NULL;

  if (found == NULL)
    return;
  for (uint32_t i = found->fault; i != MF_NONE; i = jsonc->faults[i].next)
    jsonc->faults[i].offset = jsonc->faults[i].at_key ? key_offset : value_offset;
}

static void scan_value (Scan *scan, size_t key_offset);

static void
scan_path_truncate (Scan *scan, size_t path_bytes)
{
  scan->path_bytes = path_bytes;
  scan->path[path_bytes] = '\0';
}

/* Paths are only built while there are faults whose offsets are still unknown. */
static void
scan_path_add_key (Scan *scan, const char *key, size_t key_bytes)
{
  size_t left = sizeof scan->path - scan->path_bytes;

  if (scan->jsonc->paths == NULL)
    return;
  if (key_bytes > MF_JSONC_KEY_BYTES_MAX)
    key_bytes = MF_JSONC_KEY_BYTES_MAX;
  scan->path_bytes += (size_t)snprintf (scan->path + scan->path_bytes, left, "%s%.*s",
                                        scan->path_bytes > 0 ? "." : "", (int)key_bytes, key);
}

static void
scan_path_add_index (Scan *scan, size_t index)
{
  size_t left = sizeof scan->path - scan->path_bytes;

  if (scan->jsonc->paths != NULL)
    scan->path_bytes += (size_t)snprintf (scan->path + scan->path_bytes, left, "[%zu]", index);
}

static bool
seen_has (const SeenKeys *seen, const char *key, size_t key_bytes)
{
  SeenKey *row;

  for (uint32_t i = 0; i < seen->n_inline_keys; i++)
    {
      if (seen->inline_key_bytes[i] == key_bytes
          && memcmp (seen->inline_keys[i], key, key_bytes) == 0)
        return true;
    }
  HASH_FIND (hh, seen->table, key, key_bytes, row);
  return row != NULL;
}

static void
seen_add (SeenKeys *seen, const char *key, size_t key_bytes)
{
  SeenKey *row;

  if (seen->n_inline_keys < SEEN_INLINE_MAX)
    {
      seen->inline_keys[seen->n_inline_keys] = key;
      seen->inline_key_bytes[seen->n_inline_keys++] = key_bytes;
      return;
    }
  row = calloc (1, sizeof *row);
  if (row == NULL)
    return;
  row->key = key;
  row->older = seen->latest;
  seen->latest = row;
  HASH_ADD_KEYPTR (hh, seen->table, key, key_bytes, row);
}

static void
seen_clear (SeenKeys *seen)
{
  HASH_CLEAR (hh, seen->table);
  while (seen->latest != NULL)
    {
      SeenKey *row = seen->latest;

      seen->latest = row->older;
      free (row);
    }
}

/* Adds a key of the object being scanned to the keys found. A duplicate is a fault. */
static void
scan_key (Scan *scan, SeenKeys *seen, size_t start, size_t key_bytes)
{
  MfJsonc *jsonc = scan->jsonc;
  const char *key = jsonc->text + start + 1;

  if (key_bytes > MF_JSONC_KEY_BYTES_MAX)
    {
      fault_add (jsonc, NULL, true, start, MF_CODE_TEXT_UNKNOWN_KEY, "the key is too long");
      return;
    }
  if (memchr (key, '\\', key_bytes) != NULL)
    fault_add (jsonc, NULL, true, start, MF_CODE_TEXT_SYNTAX,
               "escape sequences are not allowed in keys");
  if (seen_has (seen, key, key_bytes))
    {
      char text[MF_ERROR_TEXT_BYTES];

      snprintf (text, sizeof text, "the key \"%.*s\" is given twice", (int)key_bytes, key);
      fault_add (jsonc, NULL, true, start, MF_CODE_TEXT_DUPLICATE, text);
      return;
    }
  seen_add (seen, key, key_bytes);
}

static void
scan_object (Scan *scan)
{
  const char *text = scan->jsonc->text;
  size_t path_bytes = scan->path_bytes;
  SeenKeys seen;

  seen.n_inline_keys = 0;
  seen.table = NULL;
  seen.latest = NULL;
  scan->offset++;
  for (scan_skip_space (scan); text[scan->offset] == '"'; scan_skip_space (scan))
    {
      size_t start = scan->offset;
      size_t key_bytes;

      scan_skip_string (scan);
      key_bytes = scan->offset - start - 2;
      scan_key (scan, &seen, start, key_bytes);
      scan_path_add_key (scan, text + start + 1, key_bytes);
      scan_skip_space (scan);
      scan->offset++; /* the colon */
      scan_value (scan, start);
      scan_path_truncate (scan, path_bytes);
      scan_skip_space (scan);
      if (text[scan->offset] == ',')
        scan->offset++;
    }
  if (text[scan->offset] == '}')
    scan->offset++;
  seen_clear (&seen);
}

static void
scan_array (Scan *scan)
{
  const char *text = scan->jsonc->text;
  size_t path_bytes = scan->path_bytes;
  size_t index = 0;

  scan->offset++;
  for (scan_skip_space (scan); text[scan->offset] != ']' && text[scan->offset] != '\0';
       scan_skip_space (scan))
    {
      scan_path_add_index (scan, index++);
      scan_value (scan, scan->offset);
      scan_path_truncate (scan, path_bytes);
      scan_skip_space (scan);
      if (text[scan->offset] == ',')
        scan->offset++;
    }
  if (text[scan->offset] == ']')
    scan->offset++;
}

static void
scan_value (Scan *scan, size_t key_offset)
{
  const char *text = scan->jsonc->text;

  scan_skip_space (scan);
  scan_set_fault_offsets (scan, key_offset, scan->offset);
  if (text[scan->offset] == '{')
    scan_object (scan);
  else if (text[scan->offset] == '[')
    scan_array (scan);
  else if (text[scan->offset] == '"')
    scan_skip_string (scan);
  else
    scan->offset += strcspn (text + scan->offset, ",]} \t\r\n");
}

static void
fault_path_add (MfJsonc *jsonc, FaultPath *row)
{
  HASH_ADD_KEYPTR (hh, jsonc->paths, row->path, strlen (row->path), row);
}

/* Groups the faults by path, so that the scan finds them with one look-up per value. */
static void
faults_index_by_path (MfJsonc *jsonc, FaultPath *rows)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < jsonc->n_faults; i++)
    {
      Fault *fault = &jsonc->faults[i];
      FaultPath *row = fault->path != NULL ? fault_path_find (jsonc, fault->path) : NULL;

      if (row != NULL)
        {
          fault->next = row->fault;
          row->fault = i;
        }
      else if (fault->path != NULL)
        {
          row = &rows[n++];
          *row = (FaultPath){ .path = fault->path, .fault = i };
          fault_path_add (jsonc, row);
        }
    }
}

static int
fault_compare (const void *a, const void *b)
{
  const Fault *left = a;
  const Fault *right = b;

  if (left->offset != right->offset)
    return left->offset < right->offset ? -1 : 1;
  return (int)left->error.code - (int)right->error.code;
}

/* Converts offsets to lines and columns; columns count UTF-8 characters, not bytes. */
static void
faults_find_positions (MfJsonc *jsonc)
{
  uint32_t line = 1;
  uint32_t column = 1;
  size_t offset = 0;

  for (uint32_t i = 0; i < jsonc->n_faults; i++)
    {
      for (; offset < jsonc->faults[i].offset; offset++)
        {
          if (jsonc->original[offset] == '\n')
            {
              line++;
              column = 1;
            }
          else if (((unsigned char)jsonc->original[offset] & 0xc0) != 0x80)
            column++;
        }
      jsonc->faults[i].error.line = line;
      jsonc->faults[i].error.column = column;
    }
}

static void
faults_find_offsets (MfJsonc *jsonc)
{
  Scan *scan = calloc (1, sizeof *scan);
  FaultPath *rows = calloc (jsonc->n_faults + 1, sizeof *rows);

  if (scan != NULL && rows != NULL)
    {
      scan->jsonc = jsonc;
      faults_index_by_path (jsonc, rows);
      scan_value (scan, 0);
      HASH_CLEAR (hh, jsonc->paths);
    }
  free (rows);
  free (scan);
}

uint32_t
mf_jsonc_report (MfJsonc *jsonc, MfFaultFunc on_fault, void *data)
{
  if (jsonc->root != NULL)
    faults_find_offsets (jsonc);
  if (jsonc->n_faults == 0)
    return 0;
  qsort (jsonc->faults, jsonc->n_faults, sizeof *jsonc->faults, fault_compare);
  faults_find_positions (jsonc);
  for (uint32_t i = 0; on_fault != NULL && i < jsonc->n_faults; i++)
    on_fault (&jsonc->faults[i].error, data);
  return jsonc->n_faults + jsonc->n_dropped;
}
