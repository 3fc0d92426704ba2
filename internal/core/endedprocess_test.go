package core

import (
	"testing"
	"time"

	"vetchhaven/decide"
)

// Guards against a keyed repeat at a process of another cell that has taken over the address.
func TestRepeatDoesNotGoToAnAddressWhoseProcessHasEnded(t *testing.T) {
	const keyedCell, keyedAll = 0, 1
	for name, row := range map[string]struct {
		class   int
		result  decide.Result // of the attempt before
		refused bool          // a connection to the server was refused
		shift   time.Duration // how long ago
		listed  int64         // the server's start in a later list; 0: none came
		want    bool          // the repeat is not sent
	}{
		"refused":                       {keyedCell, decide.Reset, true, 0, 0, true},
		"not refused":                   {keyedCell, decide.Reset, false, 0, 0, false},
		"never ran":                     {keyedCell, decide.Incomplete, true, 0, 0, false},
		"all servers drop it":           {keyedAll, decide.Reset, true, 0, 0, false},
		"the list shows a new process":  {keyedCell, decide.Reset, true, 0, 1000, false},
		"the list must have shown one":  {keyedCell, decide.Reset, true, ListDelay, 0, false},
		"just before it must have done": {keyedCell, decide.Reset, true, ListDelay - time.Second, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newBareLoop()
			l.cfg.Settings.Classes = []decide.Class{
				{Effect: decide.Keyed, Scope: decide.ScopeCell, DedupWindow: time.Hour},
				{Effect: decide.Keyed, Scope: decide.ScopeAll, DedupWindow: time.Hour},
			}
			r := NewRequest("r", row.class, func(Answer) {})
			r.claimed = true
			r.attempts = []*Attempt{{Request: r, Server: "first", start: time.Now(), hasResult: true, result: row.result, cancel: func(error) {}}}
			l.requests["r"] = r
			if row.refused {
				l.noteRefusedConnection(&Attempt{Request: r, Server: "s"}, decide.ConnectFailed)
				ended := l.endedProcesses.byServer["s"]
				ended.at -= row.shift
				l.endedProcesses.byServer["s"] = ended
			}
			if row.listed > 0 {
				l.starts.restore("s", row.listed, l.clock.now(), l.clock.now())
			}
			if got := l.mayReachAnotherProcess(r, decide.Send{Request: "r", Backend: "s"}); got != row.want {
				t.Fatalf("%v, want %v", got, row.want)
			}
			if !row.want {
				return
			}
			l.startAttempt(decide.Send{Request: "r", Backend: "s"})
			if outcome, ok := l.pending[len(l.pending)-1].(decide.Outcome); !ok || outcome.Result != decide.NotSent {
				t.Errorf("%+v: the repeat was sent", l.pending)
			}
		})
	}
}

// Guards against a keyed repeat that was decided on before its server was seen to have closed its connections.
func TestRepeatIsNotWrittenToAServerThatHasClosedItsConnections(t *testing.T) {
	for name, row := range map[string]struct {
		scoped bool
		before int64 // listed start of the process that closed them
		now    int64 // listed start of the process that is to get the attempt
		ago    time.Duration
		want   bool
	}{
		"closed":                       {true, 5, 5, 0, true},
		"start not known":              {true, 0, 0, 0, true},
		"no repeat in a limited scope": {false, 5, 5, 0, false},
		"a newer process is listed":    {true, 5, 6, 0, false},
		"the list must have shown one": {true, 5, 5, ListDelay, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newBareLoop()
			closing := &Attempt{loop: l, Server: "s", listedMS: row.before}
			closing.NoteServerClosed(time.Now().Add(-row.ago))
			a := &Attempt{loop: l, Server: "s", listedMS: row.now, scopedRepeat: row.scoped}
			if got := a.mayReachAnotherProcess(); got != row.want {
				t.Errorf("%v, want %v", got, row.want)
			}
			other := &Attempt{loop: l, Server: "t", scopedRepeat: true}
			if other.mayReachAnotherProcess() {
				t.Error("another server is not used either")
			}
		})
	}
}
