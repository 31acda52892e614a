/*
 * Pins, search and takeover of flows.
 *
 * Every live entry VM may act as the owner of every flow at any time. This is the greatest possible disagreement about
 * membership, so safety does not depend on the membership protocol. The network keeps each message that was sent, so it
 * can deliver it late, twice, out of order, or never (a message that no process takes is lost). A paused entry VM takes
 * no steps, so its pins become outdated. A killed entry VM is replaced by a process without pins.
 *
 * The initial sequence number of a server is modelled by the number of its host: a caller that accepted the SYN-ACK of
 * host h acknowledges h. The reuse of a port is not modelled; the state machine test of package flow covers it.
 *
 * Mutants (see run): NO_SERVICE, NO_ACK_CHECK, TRUST_GUESS, SPRAY, RESET_UNKNOWN, FIRST_HOSTS_ONLY.
 */
#ifndef ENTRIES
#define ENTRIES 2
#endif
#define FLOWS 2
#define HOSTS 3

#define NONE 0
#define HALF 1        /* SYN forwarded, SYN-ACK not yet confirmed by the caller */
#define ESTABLISHED 2 /* the caller acknowledged the SYN-ACK of this host */
#define UNVERIFIED 3  /* the host of the flow is not confirmed */

#define SYNSENT 1
#define OPEN 2
#define REFUSED 3

/* Flow 0 belongs to the service on hosts 0 and 1, flow 1 to the service on host 2. */
#define SERVES(f, h) ((f == 0 && h < 2) || (f == 1 && h == 2))
#define BIT(h) (1 << (h))

typedef Entry { byte state[FLOWS]; byte host[FLOWS]; byte excluded[FLOWS] };
Entry entry[ENTRIES];

byte caller[FLOWS];            /* SYNSENT, OPEN, REFUSED */
byte accepted[FLOWS];          /* host whose SYN-ACK the caller accepted */
byte syn_at[FLOWS];            /* bit set of hosts that hold a half-open connection */
byte open_at[FLOWS];           /* bit set of hosts that completed the handshake */
byte ran[FLOWS];               /* bit set of hosts that received payload */
byte synack[FLOWS];            /* bit set of hosts with a SYN-ACK in the network */
bool reset[FLOWS];             /* a refusal is in the network */
bool delivered[FLOWS];         /* the payload reached the server to which the caller is connected */
bool settled;                  /* kills and disagreement have ended; entry VM 0 owns all flows */

#define MAY_ACT(e) (!settled || e == 0)

inline forward_payload(f, h) {
	assert(SERVES(f, h));                       /* no host receives a packet for a service of another host */
	ran[f] = ran[f] | BIT(h);
	assert(ran[f] == BIT(h));                   /* only one host receives payload of a flow */
	assert(caller[f] != REFUSED);               /* no host received payload of a refused flow */
	if
	:: (open_at[f] & BIT(h)) -> delivered[f] = true
	:: else -> skip
	fi
}

/* A SYN arrives at an entry VM. */
inline handle_syn(e, f) {
	if
	:: entry[e].state[f] == NONE ->
		if
		:: h = 0
		:: h = 1
		:: h = 2
		fi;
		if
#ifndef NO_SERVICE
		:: SERVES(f, h) ->
#else
		:: true ->
#endif
			printf("event syn %d %d %d\n", e, f, h);
			entry[e].state[f] = HALF;
			entry[e].host[f] = h;
			entry[e].excluded[f] = 0;
			syn_at[f] = syn_at[f] | BIT(h);
			synack[f] = synack[f] | BIT(h)
		:: !settled -> printf("event refuse %d %d\n", e, f); reset[f] = true /* for any reason */
		:: else -> skip
		fi
	:: entry[e].state[f] == HALF ->                 /* retransmitted, or sent to another host after a timeout or RST */
		if
		:: printf("event resend %d %d\n", e, f);
		   syn_at[f] = syn_at[f] | BIT(entry[e].host[f]);
		   synack[f] = synack[f] | BIT(entry[e].host[f])
		:: printf("event forget %d %d\n", e, f); entry[e].state[f] = NONE; entry[e].host[f] = 0
		fi
	:: else -> skip
	fi;
	h = 0
}

/* Payload that acknowledges the server's sequence number arrives at an entry VM. */
inline handle_payload(e, f) {
	printf("event payload %d %d\n", e, f);
	if
	:: entry[e].state[f] == ESTABLISHED && entry[e].host[f] == accepted[f] ->
		forward_payload(f, accepted[f])
	:: entry[e].state[f] == HALF ->
#ifndef NO_ACK_CHECK
		if
		:: entry[e].host[f] == accepted[f] ->   /* the ACK is ISN+1 of the pinned host */
			entry[e].state[f] = ESTABLISHED;
			forward_payload(f, accepted[f])
		:: else ->                              /* the ACK matches another host: search */
			entry[e].state[f] = UNVERIFIED;
			entry[e].host[f] = 0;
			entry[e].excluded[f] = 0
		fi
#else
		h = entry[e].host[f];
		forward_payload(f, h);
		h = 0
#endif
	:: entry[e].state[f] == NONE ->
#ifdef RESET_UNKNOWN
		reset[f] = true                         /* mutant: refuses a packet of an unknown flow */
#else
		entry[e].state[f] = UNVERIFIED;
		entry[e].host[f] = 0;
		entry[e].excluded[f] = 0
#endif
	:: entry[e].state[f] == UNVERIFIED ->
		search(e, f)
	:: else -> skip
	fi
}

#ifdef FIRST_HOSTS_ONLY
#define CANDIDATE(e, f, h) (SERVES(f, h) && !(entry[e].excluded[f] & BIT(h)) && h != 1)
#else
#define CANDIDATE(e, f, h) (SERVES(f, h) && !(entry[e].excluded[f] & BIT(h)))
#endif

/* One probe and its reply. A probe carries no payload, so no request runs whatever the host does. */
inline search(e, f) {
	if
	:: CANDIDATE(e, f, 0) -> h = 0
	:: CANDIDATE(e, f, 1) -> h = 1
	:: CANDIDATE(e, f, 2) -> h = 2
	:: else -> h = HOSTS
	fi;
	if
	:: h < HOSTS ->
#ifdef SPRAY
		forward_payload(f, h);                  /* mutant: sends the payload instead of a probe */
#endif
#ifdef TRUST_GUESS
		entry[e].state[f] = ESTABLISHED;        /* mutant: treats the candidate as verified */
		entry[e].host[f] = h;
		forward_payload(f, h)
#else
		if
		:: (open_at[f] & BIT(h)) ->
			entry[e].state[f] = ESTABLISHED;
			entry[e].host[f] = h;
			entry[e].excluded[f] = 0
		:: else -> entry[e].excluded[f] = entry[e].excluded[f] | BIT(h)
		fi
#endif
	:: else -> skip
	fi;
	h = 0
}

/* The steps of entry VM e for flow f. */
proctype EntryVM(byte e, f) {
	byte h = 0;
end:	do
	:: atomic { MAY_ACT(e) && caller[f] == SYNSENT -> handle_syn(e, f) }
	:: atomic { MAY_ACT(e) && caller[f] == OPEN && !delivered[f] -> handle_payload(e, f) }
	/* A late copy of the SYN or of the payload arrives after everything else. */
	:: atomic { !settled && caller[f] == OPEN -> handle_syn(e, f) }
	:: atomic { !settled && caller[f] == OPEN && delivered[f] -> handle_payload(e, f) }
	/* After a pause or a hint, the pin is unverified. */
	:: atomic { !settled && entry[e].state[f] == ESTABLISHED ->
		printf("event pause %d\n", e);
		entry[e].state[f] = UNVERIFIED; entry[e].host[f] = 0 }
	/* The entry VM is killed and replaced by a new process. */
	:: atomic { !settled ->
		printf("event kill %d\n", e);
		entry[e].state[f] = NONE; entry[e].host[f] = 0; entry[e].excluded[f] = 0 }
	od
}

proctype Caller(byte f) {
	byte h = 0;
	caller[f] = SYNSENT;
end:	do
	:: atomic { caller[f] == SYNSENT && synack[f] ->
		if
		:: (synack[f] & 1) -> h = 0
		:: (synack[f] & 2) -> h = 1
		:: (synack[f] & 4) -> h = 2
		fi;
		printf("event accept %d %d\n", f, h);
		accepted[f] = h;
		caller[f] = OPEN;
		/* The ACK that completes the handshake reaches the host with the first forwarded packet or probe. */
		open_at[f] = BIT(h) }
	:: atomic { caller[f] == SYNSENT && reset[f] ->
		printf("event refused %d\n", f); caller[f] = REFUSED; assert(ran[f] == 0) }
#ifdef RESET_UNKNOWN
	:: atomic { caller[f] == OPEN && reset[f] ->
		printf("event refused %d\n", f); caller[f] = REFUSED; assert(ran[f] == 0) }
#endif
	od
}

active proctype Settle() {
	settled = true
}

init {
	atomic {
		byte i;
		for (i : 0 .. ENTRIES - 1) { run EntryVM(i, 0); run EntryVM(i, 1) }
		run Caller(0);
		run Caller(1)
	}
}

#define LIVE0 (settled && caller[0] == OPEN)
ltl progress { [] (LIVE0 -> <> delivered[0]) }
