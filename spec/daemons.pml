/*
 * Configuration at the daemons: a daemon takes configuration from any source and
 * never goes to a lower version; it works only while a lease confirms that its
 * configuration is in force; a change is reported as in force everywhere only
 * when no daemon can work under an older one. Forwarded requests need no lease: there
 * a daemon works under whatever was agreed on, also as told by a control VM that knows
 * no leader, and never goes back in one run.
 *
 * Agreement is taken as proved (agreement.pml): versions are accepted in one
 * order, and an old leader has no quorum from the moment another is elected.
 * One daemon is enough: others only delay the report that a change is in force,
 * and as sources of configuration they are covered by "any source".
 * Time is counted in ticks at equal rates; a paused daemon is one that isn't picked.
 */
#ifndef DAEMONS
#define DAEMONS 1
#endif
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef LEASE
#define LEASE 2
#endif
#ifndef FAILOVERS
#define FAILOVERS 2
#endif

/* An exchange between a daemon and control, through any number of relays. */
#define IDLE 0
#define ASKED 1   /* the daemon's heartbeat is under way */
#define GRANTED 2 /* a reply that confirms is under way */
#define REFUSED 3 /* a reply that only brings configuration */
#define ORPHAN 4  /* the heartbeat of a run of the daemon that has ended */

typedef Daemon {
	byte version;
	byte lease;    /* ticks of work left, by the daemon's count */
	byte exchange;
	byte age;      /* ticks since the heartbeat was sent */
	byte told;     /* version named by the heartbeat, or brought by the reply */
	byte heard;    /* ticks until the leader takes the daemon for gone */
	byte acked;    /* version that the leader knows the daemon to have */
	byte worked;   /* observer: the highest version that callers saw at work */
	byte loose;    /* observer: the same for work without a lease, in this run */
}
Daemon d[DAEMONS];

byte newest;   /* accepted */
byte stale;    /* what a cut off old leader knows */
byte inforce;  /* reported as in force everywhere */
byte failovers;
byte i, v;

inline pick() {
	i = 0;
	do
	:: i < DAEMONS - 1 -> i++
	:: break
	od
}

inline take(x) {
	if
#ifdef MUTATE_TAKE_LOWER
	:: true -> d[i].version = x
#else
	:: x > d[i].version -> d[i].version = x
	:: else
#endif
	fi
}

#ifdef MUTATE_LEASE_FROM_RECEIPT
#define REST LEASE
#define FRESH true
#else
#define REST (LEASE - d[i].age)
#define FRESH (d[i].age < LEASE)
#endif

active proctype system() {
	do
	:: atomic { newest < VERSIONS -> newest++ }

	:: atomic { /* everybody has it or has lost its lease */
		inforce < newest;
		i = 0;
		do
		:: i < DAEMONS && (d[i].acked == newest || d[i].heard == 0) -> i++
		:: i < DAEMONS && !(d[i].acked == newest || d[i].heard == 0) -> break
		:: i == DAEMONS -> inforce = newest; break
		od;
		i = 0
	   }

	:: atomic { /* another leader is elected; it heard nobody yet */
		failovers < FAILOVERS;
		failovers++;
		stale = newest;
		do
		:: i < DAEMONS ->
			d[i].acked = 0;
#ifdef MUTATE_NO_WAIT
			d[i].heard = 0;
#else
			d[i].heard = LEASE;
#endif
			i++
		:: else -> break
		od;
		i = 0
	   }

	:: atomic { pick(); /* a heartbeat is sent */
		if
		:: d[i].exchange == IDLE ->
			d[i].exchange = ASKED; d[i].age = 0; d[i].told = d[i].version
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* the leader answers a heartbeat */
		if
		:: d[i].exchange == ASKED || d[i].exchange == ORPHAN ->
			d[i].heard = LEASE;
			if
			:: d[i].told > d[i].acked -> d[i].acked = d[i].told
			:: else
			fi;
			d[i].exchange = (d[i].exchange == ASKED -> GRANTED : IDLE);
			d[i].told = (d[i].exchange == GRANTED -> newest : 0)
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* a cut off old leader answers */
		if
		:: d[i].exchange == ASKED && failovers > 0 ->
#ifdef MUTATE_STALE_GRANT
			d[i].exchange = GRANTED;
#else
			d[i].exchange = REFUSED;
#endif
			d[i].told = stale
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* a reply comes */
		if
		:: d[i].exchange == GRANTED || d[i].exchange == REFUSED ->
#ifdef MUTATE_GRANT_ALONE
			skip;
#else
			take(d[i].told);
#endif
			if
			:: d[i].exchange == GRANTED && FRESH && REST > d[i].lease -> d[i].lease = REST
			:: else
			fi;
			d[i].exchange = IDLE; d[i].told = 0; d[i].age = 0
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* a message is lost */
		if
		:: d[i].exchange != IDLE -> d[i].exchange = IDLE; d[i].told = 0; d[i].age = 0
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* some source offers any version ever accepted */
		do
#ifdef MUTATE_OFFER_UNAGREED
		:: v <= newest -> v++
#else
		:: v < newest -> v++
#endif
		:: break
		od;
		take(v);
		v = 0; i = 0
	   }

	:: atomic { pick(); /* restart without a disk */
		d[i].version = 0;
		d[i].loose = 0;
		d[i].lease = 0;
		if
		:: d[i].exchange == ASKED -> d[i].exchange = ORPHAN
		:: d[i].exchange == ORPHAN
		:: else -> d[i].exchange = IDLE; d[i].told = 0; d[i].age = 0
		fi;
		i = 0
	   }

	:: atomic { pick(); /* new work */
		if
#ifdef MUTATE_UNCONFIRMED
		:: true ->
#else
		:: d[i].lease > 0 ->
#endif
			/* Callers never see an older configuration at work than before, */
			assert(d[i].version >= d[i].worked);
			/* nor one older than the one reported in force. */
			assert(d[i].version >= inforce);
			d[i].worked = d[i].version
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* a request that needs no lease */
		assert(d[i].version >= d[i].loose);
		assert(d[i].version <= newest);
		d[i].loose = d[i].version;
		i = 0
	   }

	:: atomic { /* time passes */
		do
		:: i < DAEMONS ->
			d[i].lease = (d[i].lease > 0 -> d[i].lease - 1 : 0);
			d[i].heard = (d[i].heard > 0 -> d[i].heard - 1 : 0);
			if
			:: d[i].exchange != IDLE && d[i].age < LEASE -> d[i].age++
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0
	   }
	od
}
