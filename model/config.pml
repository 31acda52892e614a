/*
 * Distribution of a published document to the entry VMs.
 *
 * The platform stores one document with a version. Two operators publish, and the platform accepts only a higher
 * version. It may serve an earlier version, it may be down, and it may be restored from a copy with an earlier version;
 * the operators then publish what was lost again before anything new. Processes also exchange versions with each other, and a
 * partition may separate any one of them from the others and the platform for a time. Process 0 may be replaced at any
 * time by a new process without state.
 *
 * The content of a version is modelled by the number of the operator that published it.
 *
 * Mutants (see run): NO_COMPARE_AND_SET, ACCEPT_LOWER, PLATFORM_FIRST, NO_SPREAD, REUSE_VERSION.
 */
#ifndef PROCESSES
#define PROCESSES 3
#endif
#define VERSIONS 3

byte version[PROCESSES];      /* active version; 0 is none */
byte content[PROCESSES];
bool ready[PROCESSES];
bool queried[PROCESSES];      /* the process has queried its peers since it started */
byte published;               /* newest version on the platform; 0 is none */
byte platform_content[VERSIONS + 1]; /* content of each version that was published, including lost ones */
bool restored;
bool platform_up = true;
byte partitioned = PROCESSES; /* process separated from all others and the platform; PROCESSES is none */
bool settled;                 /* faults and publications have ended; the platform is down, no process is partitioned */

/* Lowest version that was active on all other processes when the process started; 0 after a partition. */
byte min_version[PROCESSES];

byte seen_content[VERSIONS + 1]; /* content that some process accepted, for each version; 0 is none */

#ifdef PLATFORM_FIRST
#define PEERS_FIRST(p) true
#else
#define PEERS_FIRST(p) queried[p]
#endif
#define MIN(a, b) (a < b -> a : b)
#define CONNECTED(a, b) (partitioned != a && partitioned != b)

#define BOTH_READY(p) (ready[(p + 1) % PROCESSES] && ready[(p + 2) % PROCESSES])

inline accept(who, new_version, new_content) {
	if
#ifdef ACCEPT_LOWER
	:: new_version > 0 && new_version != version[who] ->
#else
	:: new_version > version[who] ->
#endif
		/* A version is never replaced by a lower one. */
		assert(new_version >= version[who]);
		/* The content of a version does not change. */
		assert(new_version != version[who] || new_content == content[who]);
		/* A version has the same content in all processes. */
		assert(seen_content[new_version] == 0 || seen_content[new_version] == new_content);
		version[who] = new_version;
		content[who] = new_content;
		seen_content[new_version] = new_content
	:: else -> skip
	fi
}

/* Sets best to the highest version of the ready processes that process who can reach. */
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
	/* A long poll of the platform returns the newest or the previous version. */
	:: atomic { platform_up && partitioned != p && published > 0 && PEERS_FIRST(p) ->
		if
		:: v = published
		:: published > 1 && !settled -> v = published - 1
		fi;
		printf("event platform %d %d\n", p, v);
		accept(p, v, platform_content[v]);
		v = 0 }
	/* A ping or an announcement of a peer carries its version, and the process requests the document. */
#ifndef NO_SPREAD
	:: atomic { CONNECTED(p, (p + 1) % PROCESSES) && version[(p + 1) % PROCESSES] > version[p] ->
		printf("event spread %d %d\n", p, (p + 1) % PROCESSES);
		accept(p, version[(p + 1) % PROCESSES], content[(p + 1) % PROCESSES]) }
	:: atomic { CONNECTED(p, (p + 2) % PROCESSES) && version[(p + 2) % PROCESSES] > version[p] ->
		printf("event spread %d %d\n", p, (p + 2) % PROCESSES);
		accept(p, version[(p + 2) % PROCESSES], content[(p + 2) % PROCESSES]) }
#endif
	/* A new process queries its contacts and accepts their newest version; without any reply it continues after 3 s. */
	:: atomic { !queried[p] ->
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
		queried[p] = true; v = 0; best = 0 }
	/* From here on, the process selects servers by its active version. */
	:: atomic { !ready[p] && version[p] > 0 && PEERS_FIRST(p) ->
		printf("event ready %d\n", p);
		/* A new process does not become ready with an outdated version. */
		assert(version[p] >= min_version[p]);
		ready[p] = true }
	/* The process is killed and replaced by a new one. */
	:: atomic { !settled && ready[p] && p == 0 ->
		printf("event kill %d\n", p);
		version[p] = 0; content[p] = 0; ready[p] = false; queried[p] = false;
		if
		:: partitioned == PROCESSES && BOTH_READY(p) ->
			min_version[p] = MIN(version[(p + 1) % PROCESSES], version[(p + 2) % PROCESSES])
		:: else -> min_version[p] = 0
		fi }
	od
}

/* An operator reads the newest version and publishes the next one. */
proctype Operator(byte id) {
	byte base;
end:	do
	:: atomic { !settled && published < VERSIONS -> base = published }
	:: atomic { !settled && base < VERSIONS ->
		if
#ifdef NO_COMPARE_AND_SET
		:: true ->
			printf("event publish %d %d\n", base + 1, id); published = base + 1; platform_content[base + 1] = id
#else
		:: base + 1 > published ->
			printf("event publish %d %d\n", base + 1, id); published = base + 1;
			if
#ifndef REUSE_VERSION
			:: platform_content[base + 1] != 0 -> skip /* It was lost and is published again. */
			:: else -> platform_content[base + 1] = id
#else
			:: true -> platform_content[base + 1] = id
#endif
			fi
		:: else -> skip /* refused: the other operator has published this version */
#endif
		fi }
	od
}

active proctype Faults() {
	byte p;
end:	do
	:: atomic { !settled -> platform_up = !platform_up }
	:: atomic { !settled && !restored && published > 1 ->
		printf("event restore %d\n", published - 1);
		restored = true; published = published - 1 }
	:: atomic { !settled && partitioned == PROCESSES ->
		select(p : 0 .. PROCESSES - 1);
		printf("event cut %d\n", p);
		partitioned = p; p = 0; min_version[0] = 0 }
	:: atomic { !settled && partitioned != PROCESSES -> printf("event heal\n"); partitioned = PROCESSES }
	:: atomic { !settled -> partitioned = PROCESSES; platform_up = false; settled = true }
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

#define ANY_NEWEST (version[0] == VERSIONS || version[1] == VERSIONS || version[2] == VERSIONS)
#define ALL_NEWEST (version[0] == VERSIONS && version[1] == VERSIONS && version[2] == VERSIONS)
ltl spreads { [] ((settled && ANY_NEWEST) -> <> ALL_NEWEST) }
