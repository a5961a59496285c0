/*
 * Model of configuration distribution and leases. A daemon accepts configuration from any
 * source and never moves to a lower version. It processes requests only while it holds a lease
 * that confirms its configuration. A change is reported as in force everywhere only when no
 * daemon can process requests under an older version. Forwarded requests need no lease: for
 * them a daemon uses any version that was agreed on, including one received from a control VM
 * without a leader, and never moves to a lower version within one run.
 *
 * The model assumes the properties that agreement.pml checks: versions are accepted in one
 * order, and a former leader has no quorum once another is elected. One daemon is sufficient:
 * further daemons only delay the report that a change is in force, and as sources of
 * configuration they are covered by "any source". All clocks tick at the same rate. A paused
 * daemon is modelled by not executing its actions.
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

/* State of the exchange between a daemon and the control group, through any number of relays. */
#define IDLE 0
#define ASKED 1   /* a heartbeat is in flight */
#define GRANTED 2 /* a reply that grants a lease is in flight */
#define REFUSED 3 /* a reply with configuration but without a lease is in flight */
#define ORPHAN 4  /* a heartbeat from before the daemon's restart is in flight */

typedef Daemon {
	byte version;
	byte lease;    /* ticks until the lease expires on the daemon's clock */
	byte exchange;
	byte age;      /* ticks since the heartbeat was sent */
	byte told;     /* version in the heartbeat or the reply */
	byte heard;    /* ticks until the lease expires on the leader's clock */
	byte acked;    /* version that the daemon has acknowledged to the leader */
	byte worked;   /* observer: version of the last request processed under a lease */
	byte loose;    /* observer: version of the last request processed without a lease in this run */
}
Daemon d[DAEMONS];

byte newest;   /* newest accepted version */
byte stale;    /* version known to a partitioned former leader */
byte inforce;  /* version reported as in force everywhere */
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

	:: atomic { /* every daemon has acknowledged the newest version or its lease has expired */
		inforce < newest;
		i = 0;
		do
		:: i < DAEMONS && (d[i].acked == newest || d[i].heard == 0) -> i++
		:: i < DAEMONS && !(d[i].acked == newest || d[i].heard == 0) -> break
		:: i == DAEMONS -> inforce = newest; break
		od;
		i = 0
	   }

	:: atomic { /* a new leader is elected, which has received no heartbeats yet */
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

	:: atomic { pick(); /* a partitioned former leader answers */
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

	:: atomic { pick(); /* a reply arrives */
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

	:: atomic { pick(); /* a source offers any accepted version */
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

	:: atomic { pick(); /* a daemon restarts and has no disk to restore its state from */
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

	:: atomic { pick(); /* a request that needs a lease is processed */
		if
#ifdef MUTATE_UNCONFIRMED
		:: true ->
#else
		:: d[i].lease > 0 ->
#endif
			/* The daemon never processes a request under an older version than before, */
			assert(d[i].version >= d[i].worked);
			/* nor under one older than the version reported as in force. */
			assert(d[i].version >= inforce);
			d[i].worked = d[i].version
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* a forwarded request, which needs no lease, is processed */
		assert(d[i].version >= d[i].loose);
		assert(d[i].version <= newest);
		d[i].loose = d[i].version;
		i = 0
	   }

	:: atomic { /* a clock tick */
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
