/*
 * Elections, commit, single-step membership change and replaced disks.
 *
 * One process picks an enabled action at a time; whatever isn't picked stands
 * for a message that was lost or is late. What a server has stored survives.
 *
 * An election is one step: a candidate takes a term above its own and exactly a
 * quorum of votes. Votes given one by one reach the same states, because neither
 * the candidate's nor the voter's log changes between a vote and the election.
 * An election that fails only raises terms, which disables actions and enables
 * none. Any server may stand, also one that its own log has removed.
 *
 * Servers are alike at the start, so the first leader is server 0 with the votes
 * of the lowest numbers, without loss of generality.
 */
#ifndef N
#define N 5          /* servers */
#endif
#ifndef GROUP
#define GROUP 15     /* bit set of the first voters; the others may join */
#endif
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LEN
#define LEN 3        /* longest log */
#endif
#ifndef DISKS
#define DISKS 0      /* disks that may be replaced */
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
	bool out;        /* its disk was replaced: refused under its old id */
	byte size;
	byte at[LEN];    /* entry: term */
	byte conf[LEN];  /* entry: the group from here on */
	byte match[N];   /* leader: entries acknowledged by each */
	byte commit;     /* leader: committed in its own term */
}
Server s[N];

/* What only an observer of all servers knows. */
byte ledby[TERMS+1]; /* 1 + leader of the term */
byte clen;           /* committed entries */
byte cat[LEN];
byte cconf[LEN];
byte replaced;

bool first = 1; /* nobody was elected yet */
byte i, j, k, n, votes, need, t; /* scratch, 0 between steps */

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

/* Only an entry of the leader's own term is counted. */
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
	/* State machine safety: a committed entry is the same for ever. */
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
		/* Election safety. */
		assert(ledby[t] == 0 || ledby[t] == i + 1);
		ledby[t] = i + 1;
		/* Leader completeness. */
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

/* The follower takes the leader's first n entries; what it held beyond them goes
 * only if it differs. */
inline replicate() {
	skip; d_step {
	if
	:: s[j].term < s[i].term -> s[j].term = s[i].term; stepDown(j)
	:: else
	fi;
	t = 0; /* whether a held entry differs */
	k = 0;
	do
	:: k < n ->
		if
		:: k < s[j].size && (s[j].at[k] != s[i].at[k] || s[j].conf[k] != s[i].conf[k]) ->
			/* Log matching: index and term name one entry. */
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

/* The newest group is committed, and an entry of the leader's own term too. */
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
	:: atomic { /* a command, or a change of the group by one voter */
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
	:: atomic { /* a disk is replaced by a blank one */
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
		/* The leaders' knowledge of what the old disk acknowledged stands. */
		i = 0; j = 0
		}
	   }
#endif
	od
}
