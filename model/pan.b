	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* PROC :init: */

	case 3: // STATE 1
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 4: // STATE 2
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 5: // STATE 4
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Host */

	case 6: // STATE 2
		;
		now.host_stopped = trpt->bup.oval;
		;
		goto R999;
;
		
	case 7: // STATE 4
		goto R999;

	case 8: // STATE 10
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Clock */

	case 9: // STATE 2
		;
		now.time = trpt->bup.oval;
		;
		goto R999;

	case 10: // STATE 5
		;
		now.time = trpt->bup.oval;
		;
		goto R999;

	case 11: // STATE 10
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Operator */

	case 12: // STATE 1
		;
		now.leaving = trpt->bup.oval;
		;
		goto R999;

	case 13: // STATE 2
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC EntryVM */

	case 14: // STATE 2
		;
		now.knows[ Index(((P0 *)_this)->e, 2) ] = trpt->bup.oval;
		;
		goto R999;

	case 15: // STATE 6
		;
		now.stale[ Index(((P0 *)_this)->e, 2) ] = trpt->bup.ovals[1];
		now.knows[ Index(((P0 *)_this)->e, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 16: // STATE 9
		;
		((P0 *)_this)->f = trpt->bup.oval;
		;
		goto R999;

	case 17: // STATE 11
		;
		((P0 *)_this)->f = trpt->bup.oval;
		;
		goto R999;

	case 18: // STATE 27
		;
		((P0 *)_this)->f = trpt->bup.ovals[2];
		now.pinned[ Index(((((P0 *)_this)->e*2)+((P0 *)_this)->f), 4) ] = trpt->bup.ovals[1];
		now.host[ Index(((P0 *)_this)->f, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 19: // STATE 27
		;
		((P0 *)_this)->f = trpt->bup.oval;
		;
		goto R999;

	case 20: // STATE 27
		;
		((P0 *)_this)->f = trpt->bup.ovals[2];
		now.pinned[ Index(((((P0 *)_this)->e*2)+((P0 *)_this)->f), 4) ] = trpt->bup.ovals[1];
		now.host[ Index(((P0 *)_this)->f, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 21: // STATE 27
		;
		((P0 *)_this)->f = trpt->bup.oval;
		;
		goto R999;

	case 22: // STATE 30
		;
		((P0 *)_this)->f = trpt->bup.oval;
		;
		goto R999;

	case 23: // STATE 32
		;
		((P0 *)_this)->f = trpt->bup.oval;
		;
		goto R999;

	case 24: // STATE 37
		;
	/* 0 */	((P0 *)_this)->f = trpt->bup.oval;
		;
		;
		goto R999;

	case 25: // STATE 45
		;
		((P0 *)_this)->f = trpt->bup.oval;
		;
		goto R999;

	case 26: // STATE 45
		;
		((P0 *)_this)->f = trpt->bup.oval;
		;
		goto R999;

	case 27: // STATE 39
		;
	/* 0 */	((P0 *)_this)->f = trpt->bup.oval;
		;
		;
		goto R999;

	case 28: // STATE 45
		;
		((P0 *)_this)->f = trpt->bup.oval;
		;
		goto R999;

	case 29: // STATE 45
		;
		((P0 *)_this)->f = trpt->bup.ovals[1];
		now.pinned[ Index(((((P0 *)_this)->e*2)+((P0 *)_this)->f), 4) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 30: // STATE 48
		;
		((P0 *)_this)->f = trpt->bup.oval;
		;
		goto R999;

	case 31: // STATE 58
		;
		((P0 *)_this)->f = trpt->bup.ovals[3];
		now.pinned[ Index(((1*2)+((P0 *)_this)->f), 4) ] = trpt->bup.ovals[2];
		now.pinned[ Index(((0*2)+((P0 *)_this)->f), 4) ] = trpt->bup.ovals[1];
		now.host[ Index(((P0 *)_this)->f, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 32: // STATE 50
		;
		((P0 *)_this)->f = trpt->bup.oval;
		;
		goto R999;

	case 33: // STATE 58
		;
		((P0 *)_this)->f = trpt->bup.ovals[3];
		now.pinned[ Index(((1*2)+((P0 *)_this)->f), 4) ] = trpt->bup.ovals[2];
		now.pinned[ Index(((0*2)+((P0 *)_this)->f), 4) ] = trpt->bup.ovals[1];
		now.host[ Index(((P0 *)_this)->f, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 34: // STATE 61
		;
		now.paused[ Index(((P0 *)_this)->e, 2) ] = trpt->bup.oval;
		;
		goto R999;

	case 35: // STATE 65
		;
		now.stale[ Index(((P0 *)_this)->e, 2) ] = trpt->bup.ovals[1];
		now.paused[ Index(((P0 *)_this)->e, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 36: // STATE 68
		;
		now.draining = trpt->bup.oval;
		;
		goto R999;

	case 37: // STATE 73
		;
		now.pinned[ Index(((1*2)+1), 4) ] = trpt->bup.ovals[2];
		now.pinned[ Index(((1*2)+0), 4) ] = trpt->bup.ovals[1];
		now.gone = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 38: // STATE 78
		;
		p_restor(II);
		;
		;
		goto R999;
	}

