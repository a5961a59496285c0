/*
 * Model of the consensus log: elections, commit, single-server membership changes and
 * replaced disks.
 *
 * A single process executes one enabled action at a time. Lost and delayed messages are
 * modelled by actions that are not executed. Stored state survives crashes.
 *
 * An election is one step: a candidate moves to a term above its own and receives exactly a
 * quorum of votes. Granting the votes one by one reaches the same states, because neither
 * the candidate's nor a voter's log changes between a vote and the election. A failed
 * election only raises terms, which disables actions and enables none. Any server may become
 * a candidate, including one that its own log has removed from the group.
 *
 * All servers are identical in the initial state. Without loss of generality, the first
 * leader is therefore server 0 with the votes of the servers with the lowest numbers.
 */
#ifndef N
#define N 5          /* servers */
#endif
#ifndef GROUP
#define GROUP 15     /* bit set of the initial voters; the others may join */
#endif
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LEN
#define LEN 3        /* maximum number of log entries */
#endif
#ifndef DISKS
#define DISKS 0      /* maximum number of replaced disks */
#endif

#define BITS(x) (((x)&1)+(((x)>>1)&1)+(((x)>>2)&1)+(((x)>>3)&1)+(((x)>>4)&1))
#ifdef MUTATE_HALF
#define QUORUM(c) ((BITS(c)+1)/2)
#else
#define QUORUM(c) (BITS(c)/2+1)
#endif
#define CONF(i) (s[i].size == 0 -> GROUP : s[i].conf[s[i].size-1])
#define LASTTERM(i) (s[i].size == 0 -> 0 : s[i].at[s[i].size-1])

typedef Server {
	byte term;
	bool leads;
	bool out;        /* its disk was replaced, so it is excluded under its old ID */
	byte size;
	byte at[LEN];    /* term of each entry */
	byte conf[LEN];  /* group in force from each entry on, as a bit set */
	byte match[N];   /* leader: number of entries acknowledged by each server */
	byte commit;     /* leader: number of entries that it has committed in its own term */
}
Server s[N];

/* Observer state: used by assertions and to bound the search, unknown to the servers. */
byte ledby[TERMS+1]; /* 1 + leader of each term, 0 if none */
byte clen;           /* number of committed entries; cat and cconf hold their terms and groups */
byte cat[LEN];
byte cconf[LEN];
byte replaced;

bool first = 1; /* no leader has been elected yet */
byte i, j, k, n, votes, need, t; /* temporaries, 0 between steps to keep the state space small */

inline stepDown(x) {
	s[x].leads = 0;
	s[x].commit = 0;
	k = 0;
	do
	:: k < N -> s[x].match[k] = 0; k++
	:: else -> break
	od;
	k = 0
}

/* advance advances the commit index. Only entries of the leader's own term are committed by
 * counting acknowledgements; earlier entries are committed with them. */
inline advance(x) {
	n = s[x].size;
	do
	:: n > s[x].commit ->
		votes = 0;
		k = 0;
		do
		:: k < N ->
			if
			:: k == x || s[x].match[k] >= n -> votes = votes | (1 << k)
			:: else
			fi;
			k++
		:: else -> break
		od;
		k = 0;
		need = QUORUM(CONF(x));
		if
#ifdef MUTATE_OLD_TERM
		:: BITS(votes & CONF(x)) >= need ->
#else
		:: BITS(votes & CONF(x)) >= need && s[x].at[n-1] == s[x].term ->
#endif
			s[x].commit = n;
			break
		:: else -> n--
		fi
	:: else -> break
	od;
	n = 0; votes = 0; need = 0;
	/* State machine safety: a committed entry never changes. */
	do
	:: k < s[x].commit ->
		if
		:: k < clen -> assert(cat[k] == s[x].at[k] && cconf[k] == s[x].conf[k])
		:: else -> cat[k] = s[x].at[k]; cconf[k] = s[x].conf[k]; clen = k + 1
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

inline appendOwn(x, g) {
	s[x].at[s[x].size] = s[x].term;
	s[x].conf[s[x].size] = g;
	s[x].size++;
	advance(x)
}

#define UPTODATE(c, v) (LASTTERM(c) > LASTTERM(v) || LASTTERM(c) == LASTTERM(v) && s[c].size >= s[v].size)

#ifdef MUTATE_STALE_LOG
#define LOGOK(c, v) true
#else
#define LOGOK(c, v) UPTODATE(c, v)
#endif
#ifdef MUTATE_VOTE_TWICE
#define FREE(v) (s[v].term <= t)
#else
#define FREE(v) (s[v].term < t)
#endif

#define GRANTS(v) (v != i && ((CONF(i) >> v) & 1) && !s[v].out && FREE(v) && LOGOK(i, v))

inline elect() {
	votes = ((CONF(i) >> i) & 1) << i;
	n = BITS(votes);
	need = QUORUM(CONF(i));
	j = 0;
	do
	:: n == need -> break
	:: n < need && j < N ->
		if
		:: GRANTS(j) ->
			votes = votes | (1 << j); n++
		:: !first
		:: first && !GRANTS(j)
		fi;
		j++
	:: n < need && j == N -> break
	od;
	skip; d_step {
	if
	:: n == need ->
		j = 0;
		do
		:: j < N ->
			if
			:: ((votes >> j) & 1) && j != i -> s[j].term = t; stepDown(j)
			:: else
			fi;
			j++
		:: else -> break
		od;
		s[i].term = t;
		stepDown(i);
		s[i].leads = 1;
		first = 0;
		/* Election safety: at most one leader per term. */
		assert(ledby[t] == 0 || ledby[t] == i + 1);
		ledby[t] = i + 1;
		/* Leader completeness: a new leader has all committed entries. */
		assert(s[i].size >= clen);
		k = 0;
		do
		:: k < clen -> assert(s[i].at[k] == cat[k] && s[i].conf[k] == cconf[k]); k++
		:: else -> break
		od;
		k = 0; n = 0; votes = 0; need = 0;
		if
		:: s[i].size < LEN -> appendOwn(i, CONF(i))
		:: else
		fi
	:: else
	fi;
	n = 0; votes = 0; need = 0; t = 0
	}
}

/* The follower accepts the leader's first n entries. It truncates entries beyond them only if
 * an entry conflicts. */
inline replicate() {
	skip; d_step {
	if
	:: s[j].term < s[i].term -> s[j].term = s[i].term; stepDown(j)
	:: else
	fi;
	t = 0; /* whether an entry of the follower conflicts */
	k = 0;
	do
	:: k < n ->
		if
		:: k < s[j].size && (s[j].at[k] != s[i].at[k] || s[j].conf[k] != s[i].conf[k]) ->
			/* Log matching: entries with the same index and term are identical. */
			assert(s[j].at[k] != s[i].at[k]);
			t = 1
		:: else
		fi;
		s[j].at[k] = s[i].at[k];
		s[j].conf[k] = s[i].conf[k];
		k++
	:: else -> break
	od;
	if
	:: t || s[j].size < n ->
		k = n;
		do
		:: k < LEN -> s[j].at[k] = 0; s[j].conf[k] = 0; k++
		:: else -> break
		od;
		s[j].size = n
	:: else
	fi;
	k = 0; t = 0;
	if
	:: s[i].match[j] < n -> s[i].match[j] = n
	:: else
	fi;
	n = 0;
	advance(i)
	}
}

/* A leader may change the group only if the latest group and an entry of its own term are
 * committed. */
#ifdef MUTATE_NO_OWN_COMMIT
#define MAYCHANGE(i) (CONF(i) == (clen == 0 -> GROUP : cconf[clen-1]))
#else
#ifdef MUTATE_TWO_CHANGES
#define MAYCHANGE(i) (s[i].commit > 0)
#else
#define MAYCHANGE(i) (s[i].commit > 0 && CONF(i) == s[i].conf[s[i].commit-1])
#endif
#endif

inline pickServer(x) {
	x = 0;
	do
	:: x < N - 1 -> x++
	:: break
	od
}

active proctype group() {
	do
	:: atomic { /* election */
		pickServer(i);
		if
		:: s[i].out -> i = 0
		:: !s[i].out && s[i].term < TERMS && !s[i].leads && (!first || i == 0) ->
			t = s[i].term + 1;
			do
			:: t < TERMS -> t++
			:: break
			od;
			elect()
		:: else
		fi;
		i = 0; j = 0
	   }
	:: atomic { /* replication */
		pickServer(i);
		if
		:: s[i].leads && s[i].size > 0 ->
			pickServer(j);
			n = 1;
			do
			:: n < s[i].size -> n++
			:: break
			od;
			if
			:: j != i && !s[j].out && s[j].term <= s[i].term && s[i].match[j] < n -> replicate()
			:: else -> n = 0
			fi
		:: else
		fi;
		i = 0; j = 0
	   }
	:: atomic { /* a command is appended, or a group change that adds or removes one voter */
		pickServer(i);
		if
		:: s[i].leads && s[i].size < LEN -> d_step { appendOwn(i, CONF(i)) }
		:: s[i].leads && s[i].size < LEN && MAYCHANGE(i) ->
			pickServer(j);
			votes = CONF(i) ^ (1 << j);
			if
			:: votes != 0 -> d_step { t = votes; votes = 0; appendOwn(i, t); t = 0 }
			:: else
			fi
		:: else
		fi;
		i = 0; j = 0; votes = 0
	   }
#if DISKS > 0
	:: atomic { /* a disk is replaced by an empty one */
		replaced < DISKS ->
		pickServer(i);
		skip; d_step {
		replaced++;
		stepDown(i);
		s[i].term = 0;
		s[i].size = 0;
		j = 0;
		do
		:: j < LEN -> s[i].at[j] = 0; s[i].conf[j] = 0; j++
		:: else -> break
		od;
#ifndef MUTATE_DISK
		s[i].out = 1;
#endif
		/* Leaders keep the acknowledgements that they received from the old disk. */
		i = 0; j = 0
		}
	   }
#endif
	od
}
