/* Protocol of idempotency keys: one key, its cell of voters, and two instances that claim the key.
 *
 * The assertion states that the call with this key runs at most once while voters are replaced by
 * processes without their state, and while the old process of a replaced voter still runs (after a
 * pause, or on the other side of a partition). A process that died is modelled as one that takes no
 * further step. Messages may be lost or arrive late: each step stores a snapshot of the sender,
 * which the receiver may use at any later time.
 *
 * VOTERS (3 or 5) and INCARNATIONS (2 or 3) set the size of the model. NO_VIEW_CHECK, NO_HANDOVER
 * and NO_ADMISSION each disable one rule; the assertion must then fail. docs/AT-MOST-ONCE.md
 * describes the protocol. */

#ifndef VOTERS
#define VOTERS 3
#endif
#ifndef INCARNATIONS
#define INCARNATIONS 2
#endif
#define CLAIMANTS 2
#define QUORUM (VOTERS / 2 + 1)

/* Array index of incarnation i of voter v; incarnations count from 1. */
#define ROW(v, i) ((v) * INCARNATIONS + (i) - 1)
#define ROWS (VOTERS * INCARNATIONS)
/* Array index of voter w in the view of row r, and of voter v's reply to claimant c. */
#define SEEN(r, w) ((r) * VOTERS + (w))
#define BALLOT(c, v) ((c) * VOTERS + (v))

#define NOBODY 0
#define INHERITED 9

byte started[VOTERS]; /* highest incarnation that was started */
bool admitted[ROWS];
byte record[ROWS];    /* whom the key is granted to: NOBODY, claimant + 1, or INHERITED (known from another voter) */
byte view[ROWS * VOTERS];   /* highest incarnation of each voter that a row knows */
byte answer[ROWS * VOTERS]; /* incarnation whose answer to the admission request a row holds */
byte answer_view[ROWS * VOTERS * VOTERS];
byte ballot[CLAIMANTS * VOTERS]; /* incarnation whose vote a claimant holds */
byte ballot_view[CLAIMANTS * VOTERS * VOTERS];
bool decided[CLAIMANTS];
byte ran;

hidden byte w, k, n, valid;

#ifdef NO_VIEW_CHECK
#define REPLACED(known, snapshot, taken) false
#else
#define REPLACED(known, snapshot, taken) ((known) > 0 && (snapshot) > (taken))
#endif

/* Sets n to the number of snapshots whose incarnation no other snapshot shows to be replaced. */
#define COUNT(taken, snapshots, base) \
  n = 0; \
  for (w : 0 .. VOTERS - 1) { \
    valid = taken[(base) + w] > 0; \
    for (k : 0 .. VOTERS - 1) { \
      if \
      :: REPLACED (taken[(base) + k], snapshots[((base) + k) * VOTERS + w], taken[(base) + w]) -> \
         valid = 0 \
      :: else \
      fi \
    } \
    n = n + valid \
  } \
  w = 0; k = 0; valid = 0

/* Incarnation i of voter v votes for claimant c, even when it has been replaced already. */
#define VOTE(c, v, i) \
  :: d_step { \
       (started[v] >= i && admitted[ROW (v, i)] && i > ballot[BALLOT (c, v)] \
        && (record[ROW (v, i)] == NOBODY || record[ROW (v, i)] == c + 1)) -> \
       record[ROW (v, i)] = c + 1; \
       ballot[BALLOT (c, v)] = i; \
       for (w : 0 .. VOTERS - 1) { \
         ballot_view[BALLOT (c, v) * VOTERS + w] = view[SEEN (ROW (v, i), w)] \
       } \
       w = 0 \
     }

/* Claimant c counts its valid votes and runs the call when they are a quorum. */
#define DECIDE(c) \
  :: d_step { \
       !decided[c] -> \
       COUNT (ballot, ballot_view, BALLOT (c, 0)); \
       if \
       :: n >= QUORUM -> decided[c] = true; ran++; assert (ran <= 1) \
       :: else \
       fi; \
       n = 0 \
     }

/* A new process without any state becomes voter v's next incarnation. */
#define RESTART(v) \
  :: d_step { \
       started[v] < INCARNATIONS -> \
       started[v]++; \
       view[SEEN (ROW (v, started[v]), v)] = started[v]; \
       admitted[ROW (v, started[v])] = ADMITTED_AT_START \
     }

#ifdef NO_ADMISSION
#define ADMITTED_AT_START true
#else
#define ADMITTED_AT_START false
#endif

/* Incarnation j of voter u agrees to the admission of incarnation i of voter v, and hands over the
 * key when it knows it. */
#define AGREE(v, i, u, j) \
  :: d_step { \
       (started[v] >= i && !admitted[ROW (v, i)] && started[u] >= j && admitted[ROW (u, j)] \
        && i >= view[SEEN (ROW (u, j), v)] && j > answer[SEEN (ROW (v, i), u)]) -> \
       view[SEEN (ROW (u, j), v)] = i; \
       answer[SEEN (ROW (v, i), u)] = j; \
       if \
       :: (HANDOVER && record[ROW (u, j)] != NOBODY) -> record[ROW (v, i)] = INHERITED \
       :: else \
       fi; \
       for (w : 0 .. VOTERS - 1) { \
         answer_view[SEEN (ROW (v, i), u) * VOTERS + w] = view[SEEN (ROW (u, j), w)] \
       } \
       w = 0 \
     }

#ifdef NO_HANDOVER
#define HANDOVER false
#else
#define HANDOVER true
#endif

/* Incarnation i of voter v is admitted once valid answers are a quorum. It then merges the
 * incarnations that all answers showed into its view. */
#define ADMIT(v, i) \
  :: d_step { \
       (started[v] >= i && !admitted[ROW (v, i)]) -> \
       COUNT (answer, answer_view, SEEN (ROW (v, i), 0)); \
       if \
       :: n >= QUORUM -> \
          admitted[ROW (v, i)] = true; \
          for (w : 0 .. VOTERS - 1) { \
            for (k : 0 .. VOTERS - 1) { \
              if \
              :: (answer[SEEN (ROW (v, i), w)] > 0 \
                  && answer_view[SEEN (ROW (v, i), w) * VOTERS + k] > view[SEEN (ROW (v, i), k)]) -> \
                 view[SEEN (ROW (v, i), k)] = answer_view[SEEN (ROW (v, i), w) * VOTERS + k] \
              :: else \
              fi \
            } \
          } \
       :: else \
       fi; \
       n = 0; w = 0; k = 0 \
     }

#if INCARNATIONS == 3
#define VOTES(c, v) VOTE (c, v, 1) VOTE (c, v, 2) VOTE (c, v, 3)
#define AGREES_BY(v, i, u) AGREE (v, i, u, 1) AGREE (v, i, u, 2) AGREE (v, i, u, 3)
#define AGREES(v, u) AGREES_BY (v, 2, u) AGREES_BY (v, 3, u)
#define ADMITS(v) ADMIT (v, 2) ADMIT (v, 3)
#else
#define VOTES(c, v) VOTE (c, v, 1) VOTE (c, v, 2)
#define AGREES(v, u) AGREE (v, 2, u, 1) AGREE (v, 2, u, 2)
#define ADMITS(v) ADMIT (v, 2)
#endif

init
{
  d_step {
    skip;
    for (w : 0 .. VOTERS - 1) {
      started[w] = 1;
      admitted[ROW (w, 1)] = true;
      for (k : 0 .. VOTERS - 1) {
        view[SEEN (ROW (w, 1), k)] = 1
      }
    }
    w = 0; k = 0
  }
  do
  VOTES (0, 0) VOTES (0, 1) VOTES (0, 2)
  VOTES (1, 0) VOTES (1, 1) VOTES (1, 2)
  DECIDE (0) DECIDE (1)
  RESTART (0) RESTART (1) RESTART (2)
  AGREES (0, 1) AGREES (0, 2) AGREES (1, 0) AGREES (1, 2) AGREES (2, 0) AGREES (2, 1)
  ADMITS (0) ADMITS (1) ADMITS (2)
#if VOTERS == 5
  VOTES (0, 3) VOTES (0, 4) VOTES (1, 3) VOTES (1, 4)
  RESTART (3) RESTART (4)
  AGREES (0, 3) AGREES (0, 4) AGREES (1, 3) AGREES (1, 4) AGREES (2, 3) AGREES (2, 4)
  AGREES (3, 0) AGREES (3, 1) AGREES (3, 2) AGREES (3, 4)
  AGREES (4, 0) AGREES (4, 1) AGREES (4, 2) AGREES (4, 3)
  ADMITS (3) ADMITS (4)
#endif
  od
}
