/*
 * Spreading of a published document.
 *
 * The platform holds one document with a version. Two operators publish; the platform accepts only a greater version.
 * It may serve any earlier copy, and it may be down. Processes spread versions among themselves, and
 * a partition may cut any of them off for a time. A process is replaced at any time by a fresh one without state.
 *
 * Content is modelled by the operator that published it. Mutants: NO_COMPARE_AND_SET, ACCEPT_LOWER, PLATFORM_FIRST, NO_SPREAD.
 */
#ifndef PROCESSES
#define PROCESSES 3
#endif
#define VERSIONS 3

byte version[PROCESSES];      /* in force; 0 is none */
byte content[PROCESSES];
bool ready[PROCESSES];
bool asked[PROCESSES];        /* the process got the versions of its peers since it started */
byte published;               /* newest version on the platform */
byte copy[VERSIONS + 1];      /* content of each version on the platform */
bool platform_up = true;
byte cut = PROCESSES;         /* the process that is partitioned from all others and the platform, if any */
bool quiet;                   /* no more faults and publications; the platform stays down, the partition is healed */

/* What all others had in force when the process started; zero as soon as it was cut off. */
byte floor[PROCESSES];

byte seen_content[VERSIONS + 1]; /* content that some process put in force, for each version */

#ifdef PLATFORM_FIRST
#define PEERS_FIRST(p) true
#else
#define PEERS_FIRST(p) asked[p]
#endif
#define MIN(a, b) (a < b -> a : b)
#define CONNECTED(a, b) (cut != a && cut != b)

#define BOTH_READY(p) (ready[(p + 1) % PROCESSES] && ready[(p + 2) % PROCESSES])

inline accept(who, number, text) {
	if
#ifdef ACCEPT_LOWER
	:: number > 0 && number != version[who] ->
#else
	:: number > version[who] ->
#endif
		assert(number >= version[who]);                                /* never goes back */
		assert(number != version[who] || text == content[who]);             /* no other content under the same version */
		assert(seen_content[number] == 0 || seen_content[number] == text);   /* and none in two processes */
		version[who] = number;
		content[who] = text;
		seen_content[number] = text
	:: else -> skip
	fi
}

/* The newest version that process p can reach in other processes. */
inline newest_reachable(who) {
	best = 0;
	for (j : 0 .. PROCESSES - 1) {
		if
		:: j != who && CONNECTED(j, who) && ready[j] && version[j] > best -> best = version[j]
		:: else -> skip
		fi
	}
	j = 0
}

proctype Process(byte p) {
	byte j, best;
	byte v;
end:	do
	/* A watch returns the newest or any earlier copy. */
	:: atomic { platform_up && cut != p && published > 0 && PEERS_FIRST(p) ->
		if
		:: v = published
		:: published > 1 && !quiet -> v = published - 1
		fi;
		printf("event platform %d %d\n", p, v);
		accept(p, v, copy[v]);
		v = 0 }
	/* A ping or an announcement of a peer carries its version, and the document is asked for. */
#ifndef NO_SPREAD
	:: atomic { CONNECTED(p, (p + 1) % PROCESSES) && version[(p + 1) % PROCESSES] > version[p] ->
		printf("event spread %d %d\n", p, (p + 1) % PROCESSES);
		accept(p, version[(p + 1) % PROCESSES], content[(p + 1) % PROCESSES]) }
	:: atomic { CONNECTED(p, (p + 2) % PROCESSES) && version[(p + 2) % PROCESSES] > version[p] ->
		printf("event spread %d %d\n", p, (p + 2) % PROCESSES);
		accept(p, version[(p + 2) % PROCESSES], content[(p + 2) % PROCESSES]) }
#endif
	/* A fresh process asks its contacts and takes the newest of them; without any answer it goes on after 3 s. */
	:: atomic { !asked[p] ->
		printf("event ask %d\n", p);
		newest_reachable(p);
		for (j : 0 .. PROCESSES - 1) {
			if
			:: j != p && CONNECTED(j, p) && ready[j] && version[j] == best -> v = content[j]
			:: else -> skip
			fi
		}
		j = 0;
		if
		:: best > 0 -> accept(p, best, v)
		:: else -> skip
		fi;
		asked[p] = true; v = 0; best = 0 }
	/* From now on the process decides about flows with what it has in force. */
	:: atomic { !ready[p] && version[p] > 0 && PEERS_FIRST(p) ->
		printf("event ready %d\n", p);
		assert(version[p] >= floor[p]);                         /* no stale start */
		ready[p] = true }
	/* Killed and replaced by a fresh process. */
	:: atomic { !quiet && ready[p] && p == 0 ->
		printf("event kill %d\n", p);
		version[p] = 0; content[p] = 0; ready[p] = false; asked[p] = false;
		if
		:: cut == PROCESSES && BOTH_READY(p) -> floor[p] = MIN(version[(p + 1) % PROCESSES], version[(p + 2) % PROCESSES])
		:: else -> floor[p] = 0
		fi }
	od
}

/* An operator reads the version in force and publishes the next one. */
proctype Operator(byte id) {
	byte base;
end:	do
	:: atomic { !quiet && published < VERSIONS -> base = published }
	:: atomic { !quiet && base < VERSIONS ->
		if
#ifdef NO_COMPARE_AND_SET
		:: true -> printf("event publish %d %d\n", base + 1, id); published = base + 1; copy[base + 1] = id
#else
		:: base + 1 > published -> printf("event publish %d %d\n", base + 1, id); published = base + 1; copy[base + 1] = id
		:: else -> skip /* refused: someone else published */
#endif
		fi }
	od
}

active proctype Faults() {
	byte p;
end:	do
	:: atomic { !quiet -> platform_up = !platform_up }
	:: atomic { !quiet && cut == PROCESSES -> select(p : 0 .. PROCESSES - 1); printf("event cut %d\n", p); cut = p; p = 0; floor[0] = 0 }
	:: atomic { !quiet && cut != PROCESSES -> printf("event heal\n"); cut = PROCESSES }
	:: atomic { !quiet -> cut = PROCESSES; platform_up = false; quiet = true }
	od
}

init {
	atomic {
		byte i;
		for (i : 0 .. PROCESSES - 1) { run Process(i) }
		run Operator(1);
		run Operator(2)
	}
}

#define HIGH (version[0] == VERSIONS || version[1] == VERSIONS || version[2] == VERSIONS)
#define ALL (version[0] == VERSIONS && version[1] == VERSIONS && version[2] == VERSIONS)
ltl spreads { [] ((quiet && HIGH) -> <> ALL) }
