package core

import "testing"

// Guards against memory that is handed out by fixed bounds alone, though other users have taken it.
func TestByteBudgetGrantsAQuarterWhileMemoryIsShort(t *testing.T) {
	short := false
	b := NewByteBudget(1000, func() bool { return short })
	if !b.Acquire(900) {
		t.Fatal("900 of 1000 bytes were not granted")
	}
	b.Release(900)
	short = true
	if !b.Acquire(250) || b.Acquire(1) {
		t.Error("a short budget does not grant exactly a quarter")
	}
	short = false
	if !b.Acquire(750) || b.Acquire(1) || b.Used() != 1000 {
		t.Errorf("%d bytes are used after the shortage", b.Used())
	}
}

// Guards against requests that are admitted by a fixed bound although the process has no memory for them.
func TestRequestsAreAdmittedToAQuarterWhileMemoryIsShort(t *testing.T) {
	short := false
	l := &Loop{memoryShort: func() bool { return short }}
	for _, row := range []struct {
		open, limit int64
		short, want bool
	}{
		{1000, 1000, false, true},
		{1001, 1000, false, false},
		{250, 1000, true, true},
		{251, 1000, true, false},
		{minOpenRequests, 100, true, true},
		{minOpenRequests + 1, 100, true, false},
		{11, 10, true, false},
	} {
		short = row.short
		if got := l.MayOpen(row.open, row.limit); got != row.want {
			t.Errorf("%+v: %v", row, got)
		}
	}
}
