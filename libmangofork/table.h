#ifndef MF_TABLE_H
#define MF_TABLE_H

#include <xxhash.h>

/* All hash tables use uthash, with xxHash as the hash function. */
#define HASH_FUNCTION(key, key_bytes, hash) ((hash) = (unsigned)XXH3_64bits ((key), (key_bytes)))

#include <uthash.h>

#endif
