#define rand	pan_rand
#define pthread_equal(a,b)	((a)==(b))
#if defined(HAS_CODE) && defined(VERBOSE)
	#ifdef BFS_PAR
		bfs_printf("Pr: %d Tr: %d\n", II, t->forw);
	#else
		cpu_printf("Pr: %d Tr: %d\n", II, t->forw);
	#endif
#endif
	switch (t->forw) {
	default: Uerror("bad forward move");
	case 0:	/* if without executable clauses */
		continue;
	case 1: /* generic 'goto' or 'skip' */
		IfNotBlocked
		_m = 3; goto P999;
	case 2: /* generic 'else' */
		IfNotBlocked
		if (trpt->o_pm&1) continue;
		_m = 3; goto P999;

		 /* PROC :init: */
	case 3: // STATE 1 - drain.pml:108 - [(run EntryVM(0))] (0:0:0 - 1)
		IfNotBlocked
		reached[4][1] = 1;
		if (!(addproc(II, 1, 0, 0)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 4: // STATE 2 - drain.pml:108 - [(run EntryVM(1))] (0:0:0 - 1)
		IfNotBlocked
		reached[4][2] = 1;
		if (!(addproc(II, 1, 0, 1)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 5: // STATE 4 - drain.pml:109 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[4][4] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Host */
	case 6: // STATE 1 - drain.pml:102 - [(((((leaving&&(time==2))&&!(host_stopped))&&(host[0]!=0))&&(host[1]!=0)))] (7:0:1 - 1)
		IfNotBlocked
		reached[3][1] = 1;
		if (!(((((((int)now.leaving)&&(((int)now.time)==2))&& !(((int)now.host_stopped)))&&(((int)now.host[0])!=0))&&(((int)now.host[1])!=0))))
			continue;
		/* merge: host_stopped = 1(0, 2, 7) */
		reached[3][2] = 1;
		(trpt+1)->bup.oval = ((int)now.host_stopped);
		now.host_stopped = 1;
#ifdef VAR_RANGES
		logval("host_stopped", ((int)now.host_stopped));
#endif
		;
		/* merge: .(goto)(0, 8, 7) */
		reached[3][8] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 7: // STATE 4 - drain.pml:103 - [(host_stopped)] (7:0:0 - 1)
		IfNotBlocked
		reached[3][4] = 1;
		if (!(((int)now.host_stopped)))
			continue;
		/* merge: assert(((host[0]!=0)&&(host[1]!=0)))(0, 5, 7) */
		reached[3][5] = 1;
		spin_assert(((((int)now.host[0])!=0)&&(((int)now.host[1])!=0)), "((host[0]!=0)&&(host[1]!=0))", II, tt, t);
		/* merge: .(goto)(0, 8, 7) */
		reached[3][8] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 8: // STATE 10 - drain.pml:105 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[3][10] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Clock */
	case 9: // STATE 1 - drain.pml:94 - [((leaving&&(time<(2-1))))] (7:0:1 - 1)
		IfNotBlocked
		reached[2][1] = 1;
		if (!((((int)now.leaving)&&(((int)now.time)<(2-1)))))
			continue;
		/* merge: time = (time+1)(0, 2, 7) */
		reached[2][2] = 1;
		(trpt+1)->bup.oval = ((int)now.time);
		now.time = (((int)now.time)+1);
#ifdef VAR_RANGES
		logval("time", ((int)now.time));
#endif
		;
		/* merge: .(goto)(0, 8, 7) */
		reached[2][8] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 10: // STATE 4 - drain.pml:95 - [((((leaving&&(time==(2-1)))&&(!(((!(paused[0])&&!(((0==1)&&gone)))&&!(stale[0])))||knows[0]))&&(!(((!(paused[1])&&!(((1==1)&&gone)))&&!(stale[1])))||knows[1])))] (7:0:1 - 1)
		IfNotBlocked
		reached[2][4] = 1;
		if (!((((((int)now.leaving)&&(((int)now.time)==(2-1)))&&( !((( !(((int)now.paused[0]))&& !(((0==1)&&((int)now.gone))))&& !(((int)now.stale[0]))))||((int)now.knows[0])))&&( !((( !(((int)now.paused[1]))&& !(((1==1)&&((int)now.gone))))&& !(((int)now.stale[1]))))||((int)now.knows[1])))))
			continue;
		/* merge: time = 2(0, 5, 7) */
		reached[2][5] = 1;
		(trpt+1)->bup.oval = ((int)now.time);
		now.time = 2;
#ifdef VAR_RANGES
		logval("time", ((int)now.time));
#endif
		;
		/* merge: .(goto)(0, 8, 7) */
		reached[2][8] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 11: // STATE 10 - drain.pml:97 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[2][10] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Operator */
	case 12: // STATE 1 - drain.pml:90 - [leaving = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[1][1] = 1;
		(trpt+1)->bup.oval = ((int)now.leaving);
		now.leaving = 1;
#ifdef VAR_RANGES
		logval("leaving", ((int)now.leaving));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 13: // STATE 2 - drain.pml:90 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[1][2] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC EntryVM */
	case 14: // STATE 1 - drain.pml:37 - [((((!(paused[e])&&!(((e==1)&&gone)))&&leaving)&&!(knows[e])))] (75:0:1 - 1)
		IfNotBlocked
		reached[0][1] = 1;
		if (!(((( !(((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ]))&& !(((((int)((P0 *)_this)->e)==1)&&((int)now.gone))))&&((int)now.leaving))&& !(((int)now.knows[ Index(((int)((P0 *)_this)->e), 2) ])))))
			continue;
		/* merge: knows[e] = 1(0, 2, 75) */
		reached[0][2] = 1;
		(trpt+1)->bup.oval = ((int)now.knows[ Index(((int)((P0 *)_this)->e), 2) ]);
		now.knows[ Index(((P0 *)_this)->e, 2) ] = 1;
#ifdef VAR_RANGES
		logval("knows[EntryVM:e]", ((int)now.knows[ Index(((int)((P0 *)_this)->e), 2) ]));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 15: // STATE 4 - drain.pml:38 - [((stale[e]&&(!(paused[e])&&!(((e==1)&&gone)))))] (75:0:2 - 1)
		IfNotBlocked
		reached[0][4] = 1;
		if (!((((int)now.stale[ Index(((int)((P0 *)_this)->e), 2) ])&&( !(((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ]))&& !(((((int)((P0 *)_this)->e)==1)&&((int)now.gone)))))))
			continue;
		/* merge: knows[e] = leaving(75, 5, 75) */
		reached[0][5] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.knows[ Index(((int)((P0 *)_this)->e), 2) ]);
		now.knows[ Index(((P0 *)_this)->e, 2) ] = ((int)now.leaving);
#ifdef VAR_RANGES
		logval("knows[EntryVM:e]", ((int)now.knows[ Index(((int)((P0 *)_this)->e), 2) ]));
#endif
		;
		/* merge: stale[e] = 0(75, 6, 75) */
		reached[0][6] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.stale[ Index(((int)((P0 *)_this)->e), 2) ]);
		now.stale[ Index(((P0 *)_this)->e, 2) ] = 0;
#ifdef VAR_RANGES
		logval("stale[EntryVM:e]", ((int)now.stale[ Index(((int)((P0 *)_this)->e), 2) ]));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 16: // STATE 8 - drain.pml:40 - [((((!(paused[e])&&!(((e==1)&&gone)))&&!(stale[e]))&&((e==0)||!(draining))))] (13:0:1 - 1)
		IfNotBlocked
		reached[0][8] = 1;
		if (!(((( !(((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ]))&& !(((((int)((P0 *)_this)->e)==1)&&((int)now.gone))))&& !(((int)now.stale[ Index(((int)((P0 *)_this)->e), 2) ])))&&((((int)((P0 *)_this)->e)==0)|| !(((int)now.draining))))))
			continue;
		/* merge: f = 0(0, 9, 13) */
		reached[0][9] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 14, 13) */
		reached[0][14] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 17: // STATE 10 - drain.pml:41 - [((f<(2-1)))] (13:0:1 - 1)
		IfNotBlocked
		reached[0][10] = 1;
		if (!((((int)((P0 *)_this)->f)<(2-1))))
			continue;
		/* merge: f = (f+1)(0, 11, 13) */
		reached[0][11] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = (((int)((P0 *)_this)->f)+1);
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 14, 13) */
		reached[0][14] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 18: // STATE 16 - drain.pml:43 - [(((host[f]==9)&&!(knows[e])))] (75:0:3 - 1)
		IfNotBlocked
		reached[0][16] = 1;
		if (!(((((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ])==9)&& !(((int)now.knows[ Index(((int)((P0 *)_this)->e), 2) ])))))
			continue;
		/* merge: host[f] = 0(75, 17, 75) */
		reached[0][17] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ]);
		now.host[ Index(((P0 *)_this)->f, 2) ] = 0;
#ifdef VAR_RANGES
		logval("host[EntryVM:f]", ((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ]));
#endif
		;
		/* merge: assert((!(leaving)||(time<2)))(75, 18, 75) */
		reached[0][18] = 1;
		spin_assert(( !(((int)now.leaving))||(((int)now.time)<2)), "( !(leaving)||(time<2))", II, tt, t);
		/* merge: pinned[((e*2)+f)] = 1(75, 19, 75) */
		reached[0][19] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.pinned[ Index(((((int)((P0 *)_this)->e)*2)+((int)((P0 *)_this)->f)), 4) ]);
		now.pinned[ Index(((((P0 *)_this)->e*2)+((P0 *)_this)->f), 4) ] = 1;
#ifdef VAR_RANGES
		logval("pinned[((EntryVM:e*2)+EntryVM:f)]", ((int)now.pinned[ Index(((((int)((P0 *)_this)->e)*2)+((int)((P0 *)_this)->f)), 4) ]));
#endif
		;
		/* merge: .(goto)(75, 26, 75) */
		reached[0][26] = 1;
		;
		/* merge: f = 0(75, 27, 75) */
		reached[0][27] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 19: // STATE 26 - drain.pml:47 - [.(goto)] (0:75:1 - 3)
		IfNotBlocked
		reached[0][26] = 1;
		;
		/* merge: f = 0(75, 27, 75) */
		reached[0][27] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 20: // STATE 20 - drain.pml:44 - [((host[f]==9))] (75:0:3 - 1)
		IfNotBlocked
		reached[0][20] = 1;
		if (!((((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ])==9)))
			continue;
		/* merge: host[f] = 1(75, 21, 75) */
		reached[0][21] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ]);
		now.host[ Index(((P0 *)_this)->f, 2) ] = 1;
#ifdef VAR_RANGES
		logval("host[EntryVM:f]", ((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ]));
#endif
		;
		/* merge: pinned[((e*2)+f)] = 1(75, 22, 75) */
		reached[0][22] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.pinned[ Index(((((int)((P0 *)_this)->e)*2)+((int)((P0 *)_this)->f)), 4) ]);
		now.pinned[ Index(((((P0 *)_this)->e*2)+((P0 *)_this)->f), 4) ] = 1;
#ifdef VAR_RANGES
		logval("pinned[((EntryVM:e*2)+EntryVM:f)]", ((int)now.pinned[ Index(((((int)((P0 *)_this)->e)*2)+((int)((P0 *)_this)->f)), 4) ]));
#endif
		;
		/* merge: .(goto)(75, 26, 75) */
		reached[0][26] = 1;
		;
		/* merge: f = 0(75, 27, 75) */
		reached[0][27] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 21: // STATE 24 - drain.pml:45 - [(1)] (75:0:1 - 1)
		IfNotBlocked
		reached[0][24] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(75, 26, 75) */
		reached[0][26] = 1;
		;
		/* merge: f = 0(75, 27, 75) */
		reached[0][27] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 22: // STATE 29 - drain.pml:49 - [((((!(paused[e])&&!(((e==1)&&gone)))&&!(stale[e]))&&((e==0)||!(draining))))] (34:0:1 - 1)
		IfNotBlocked
		reached[0][29] = 1;
		if (!(((( !(((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ]))&& !(((((int)((P0 *)_this)->e)==1)&&((int)now.gone))))&& !(((int)now.stale[ Index(((int)((P0 *)_this)->e), 2) ])))&&((((int)((P0 *)_this)->e)==0)|| !(((int)now.draining))))))
			continue;
		/* merge: f = 0(0, 30, 34) */
		reached[0][30] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 35, 34) */
		reached[0][35] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 23: // STATE 31 - drain.pml:50 - [((f<(2-1)))] (34:0:1 - 1)
		IfNotBlocked
		reached[0][31] = 1;
		if (!((((int)((P0 *)_this)->f)<(2-1))))
			continue;
		/* merge: f = (f+1)(0, 32, 34) */
		reached[0][32] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = (((int)((P0 *)_this)->f)+1);
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 35, 34) */
		reached[0][35] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 24: // STATE 37 - drain.pml:52 - [((host[f]==9))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][37] = 1;
		if (!((((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ])==9)))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: f */  (trpt+1)->bup.oval = ((P0 *)_this)->f;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->f = 0;
		_m = 3; goto P999; /* 0 */
	case 25: // STATE 38 - drain.pml:52 - [(1)] (75:0:1 - 1)
		IfNotBlocked
		reached[0][38] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(75, 44, 75) */
		reached[0][44] = 1;
		;
		/* merge: f = 0(75, 45, 75) */
		reached[0][45] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 26: // STATE 44 - drain.pml:67 - [.(goto)] (0:75:1 - 3)
		IfNotBlocked
		reached[0][44] = 1;
		;
		/* merge: f = 0(75, 45, 75) */
		reached[0][45] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 27: // STATE 39 - drain.pml:56 - [(((host[f]!=9)&&pinned[((e*2)+f)]))] (0:0:1 - 1)
		IfNotBlocked
		reached[0][39] = 1;
		if (!(((((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ])!=9)&&((int)now.pinned[ Index(((((int)((P0 *)_this)->e)*2)+((int)((P0 *)_this)->f)), 4) ]))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: f */  (trpt+1)->bup.oval = ((P0 *)_this)->f;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->f = 0;
		_m = 3; goto P999; /* 0 */
	case 28: // STATE 40 - drain.pml:56 - [(1)] (75:0:1 - 1)
		IfNotBlocked
		reached[0][40] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(75, 44, 75) */
		reached[0][44] = 1;
		;
		/* merge: f = 0(75, 45, 75) */
		reached[0][45] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 29: // STATE 41 - drain.pml:57 - [(((host[f]!=9)&&!(pinned[((e*2)+f)])))] (75:0:2 - 1)
		IfNotBlocked
		reached[0][41] = 1;
		if (!(((((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ])!=9)&& !(((int)now.pinned[ Index(((((int)((P0 *)_this)->e)*2)+((int)((P0 *)_this)->f)), 4) ])))))
			continue;
		/* merge: pinned[((e*2)+f)] = 1(75, 42, 75) */
		reached[0][42] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.pinned[ Index(((((int)((P0 *)_this)->e)*2)+((int)((P0 *)_this)->f)), 4) ]);
		now.pinned[ Index(((((P0 *)_this)->e*2)+((P0 *)_this)->f), 4) ] = 1;
#ifdef VAR_RANGES
		logval("pinned[((EntryVM:e*2)+EntryVM:f)]", ((int)now.pinned[ Index(((((int)((P0 *)_this)->e)*2)+((int)((P0 *)_this)->f)), 4) ]));
#endif
		;
		/* merge: .(goto)(75, 44, 75) */
		reached[0][44] = 1;
		;
		/* merge: f = 0(75, 45, 75) */
		reached[0][45] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 30: // STATE 47 - drain.pml:69 - [(((!(paused[e])&&!(((e==1)&&gone)))&&!(stale[e])))] (52:0:1 - 1)
		IfNotBlocked
		reached[0][47] = 1;
		if (!((( !(((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ]))&& !(((((int)((P0 *)_this)->e)==1)&&((int)now.gone))))&& !(((int)now.stale[ Index(((int)((P0 *)_this)->e), 2) ])))))
			continue;
		/* merge: f = 0(0, 48, 52) */
		reached[0][48] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 53, 52) */
		reached[0][53] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 31: // STATE 51 - drain.pml:70 - [goto :b3] (0:75:4 - 1)
		IfNotBlocked
		reached[0][51] = 1;
		;
		/* merge: host[f] = 9(75, 55, 75) */
		reached[0][55] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ]);
		now.host[ Index(((P0 *)_this)->f, 2) ] = 9;
#ifdef VAR_RANGES
		logval("host[EntryVM:f]", ((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ]));
#endif
		;
		/* merge: pinned[((0*2)+f)] = 0(75, 56, 75) */
		reached[0][56] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.pinned[ Index(((0*2)+((int)((P0 *)_this)->f)), 4) ]);
		now.pinned[ Index(((0*2)+((P0 *)_this)->f), 4) ] = 0;
#ifdef VAR_RANGES
		logval("pinned[((0*2)+EntryVM:f)]", ((int)now.pinned[ Index(((0*2)+((int)((P0 *)_this)->f)), 4) ]));
#endif
		;
		/* merge: pinned[((1*2)+f)] = 0(75, 57, 75) */
		reached[0][57] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.pinned[ Index(((1*2)+((int)((P0 *)_this)->f)), 4) ]);
		now.pinned[ Index(((1*2)+((P0 *)_this)->f), 4) ] = 0;
#ifdef VAR_RANGES
		logval("pinned[((1*2)+EntryVM:f)]", ((int)now.pinned[ Index(((1*2)+((int)((P0 *)_this)->f)), 4) ]));
#endif
		;
		/* merge: f = 0(75, 58, 75) */
		reached[0][58] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 32: // STATE 49 - drain.pml:70 - [((f<(2-1)))] (52:0:1 - 1)
		IfNotBlocked
		reached[0][49] = 1;
		if (!((((int)((P0 *)_this)->f)<(2-1))))
			continue;
		/* merge: f = (f+1)(0, 50, 52) */
		reached[0][50] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = (((int)((P0 *)_this)->f)+1);
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 53, 52) */
		reached[0][53] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 33: // STATE 55 - drain.pml:71 - [host[f] = 9] (0:75:4 - 2)
		IfNotBlocked
		reached[0][55] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ]);
		now.host[ Index(((P0 *)_this)->f, 2) ] = 9;
#ifdef VAR_RANGES
		logval("host[EntryVM:f]", ((int)now.host[ Index(((int)((P0 *)_this)->f), 2) ]));
#endif
		;
		/* merge: pinned[((0*2)+f)] = 0(75, 56, 75) */
		reached[0][56] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.pinned[ Index(((0*2)+((int)((P0 *)_this)->f)), 4) ]);
		now.pinned[ Index(((0*2)+((P0 *)_this)->f), 4) ] = 0;
#ifdef VAR_RANGES
		logval("pinned[((0*2)+EntryVM:f)]", ((int)now.pinned[ Index(((0*2)+((int)((P0 *)_this)->f)), 4) ]));
#endif
		;
		/* merge: pinned[((1*2)+f)] = 0(75, 57, 75) */
		reached[0][57] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.pinned[ Index(((1*2)+((int)((P0 *)_this)->f)), 4) ]);
		now.pinned[ Index(((1*2)+((P0 *)_this)->f), 4) ] = 0;
#ifdef VAR_RANGES
		logval("pinned[((1*2)+EntryVM:f)]", ((int)now.pinned[ Index(((1*2)+((int)((P0 *)_this)->f)), 4) ]));
#endif
		;
		/* merge: f = 0(75, 58, 75) */
		reached[0][58] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->f);
		((P0 *)_this)->f = 0;
#ifdef VAR_RANGES
		logval("EntryVM:f", ((int)((P0 *)_this)->f));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 34: // STATE 60 - drain.pml:72 - [((((!(paused[e])&&!(((e==1)&&gone)))&&!(draining))&&!(paused[e])))] (75:0:1 - 1)
		IfNotBlocked
		reached[0][60] = 1;
		if (!(((( !(((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ]))&& !(((((int)((P0 *)_this)->e)==1)&&((int)now.gone))))&& !(((int)now.draining)))&& !(((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ])))))
			continue;
		/* merge: paused[e] = 1(0, 61, 75) */
		reached[0][61] = 1;
		(trpt+1)->bup.oval = ((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ]);
		now.paused[ Index(((P0 *)_this)->e, 2) ] = 1;
#ifdef VAR_RANGES
		logval("paused[EntryVM:e]", ((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ]));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 35: // STATE 63 - drain.pml:73 - [(paused[e])] (75:0:2 - 1)
		IfNotBlocked
		reached[0][63] = 1;
		if (!(((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ])))
			continue;
		/* merge: paused[e] = 0(75, 64, 75) */
		reached[0][64] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ]);
		now.paused[ Index(((P0 *)_this)->e, 2) ] = 0;
#ifdef VAR_RANGES
		logval("paused[EntryVM:e]", ((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ]));
#endif
		;
		/* merge: stale[e] = 1(75, 65, 75) */
		reached[0][65] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.stale[ Index(((int)((P0 *)_this)->e), 2) ]);
		now.stale[ Index(((P0 *)_this)->e, 2) ] = 1;
#ifdef VAR_RANGES
		logval("stale[EntryVM:e]", ((int)now.stale[ Index(((int)((P0 *)_this)->e), 2) ]));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 36: // STATE 67 - drain.pml:78 - [((((e==1)&&((!(paused[e])&&!(((e==1)&&gone)))&&!(stale[e])))&&!(draining)))] (75:0:1 - 1)
		IfNotBlocked
		reached[0][67] = 1;
		if (!((((((int)((P0 *)_this)->e)==1)&&(( !(((int)now.paused[ Index(((int)((P0 *)_this)->e), 2) ]))&& !(((((int)((P0 *)_this)->e)==1)&&((int)now.gone))))&& !(((int)now.stale[ Index(((int)((P0 *)_this)->e), 2) ]))))&& !(((int)now.draining)))))
			continue;
		/* merge: draining = 1(0, 68, 75) */
		reached[0][68] = 1;
		(trpt+1)->bup.oval = ((int)now.draining);
		now.draining = 1;
#ifdef VAR_RANGES
		logval("draining", ((int)now.draining));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 37: // STATE 70 - drain.pml:86 - [((((e==1)&&draining)&&!(gone)))] (75:0:3 - 1)
		IfNotBlocked
		reached[0][70] = 1;
		if (!((((((int)((P0 *)_this)->e)==1)&&((int)now.draining))&& !(((int)now.gone)))))
			continue;
		/* merge: gone = 1(75, 71, 75) */
		reached[0][71] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.gone);
		now.gone = 1;
#ifdef VAR_RANGES
		logval("gone", ((int)now.gone));
#endif
		;
		/* merge: pinned[((1*2)+0)] = 0(75, 72, 75) */
		reached[0][72] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.pinned[ Index(((1*2)+0), 4) ]);
		now.pinned[ Index(((1*2)+0), 4) ] = 0;
#ifdef VAR_RANGES
		logval("pinned[((1*2)+0)]", ((int)now.pinned[ Index(((1*2)+0), 4) ]));
#endif
		;
		/* merge: pinned[((1*2)+1)] = 0(75, 73, 75) */
		reached[0][73] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.pinned[ Index(((1*2)+1), 4) ]);
		now.pinned[ Index(((1*2)+1), 4) ] = 0;
#ifdef VAR_RANGES
		logval("pinned[((1*2)+1)]", ((int)now.pinned[ Index(((1*2)+1), 4) ]));
#endif
		;
		/* merge: .(goto)(0, 76, 75) */
		reached[0][76] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 38: // STATE 78 - drain.pml:88 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[0][78] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */
	case  _T5:	/* np_ */
		if (!((!(trpt->o_pm&4) && !(trpt->tau&128))))
			continue;
		/* else fall through */
	case  _T2:	/* true */
		_m = 3; goto P999;
#undef rand
	}

