package virtual

import (
	"fmt"
	"time"

	"vetchhaven/internal/peer/membership"
)

// Codec writes messages as members send them, and reads them back. carrier.Wire is the daemons' own.
type Codec interface {
	Marshal(from string, message any) ([]byte, error)
	Unmarshal(data []byte) (any, error)
}

// Flow is what went one way. Bytes are those of the messages, without the heads of UDP, TCP and IP.
type Flow struct {
	Bytes, Messages uint64
	Most            uint64 // bytes in any one second of the run's clock
	Second          uint64 // of the last second in which there were any; not part of the sum
	inSecond        uint64
}

// Add counts a message.
func (f *Flow) Add(at time.Duration, size int) {
	if s := uint64(at / time.Second); s != f.Second {
		f.Second, f.inSecond = s, 0
	}
	f.Messages++
	f.Bytes += uint64(size)
	f.inSecond += uint64(size)
	f.Most = max(f.Most, f.inSecond)
}

// Load is what one daemon sent and took in a phase of the run. Datagrams that were lost on the way, or came to a
// process that was not there, were sent and not taken.
type Load struct {
	Out, In Flow
	Told    uint64 // records that came with datagrams
}

// load is where a daemon's traffic at a time is counted.
func (w *world) load(a *agent, at time.Duration) *Load {
	for a.phase < len(w.o.Marks) && at >= w.o.Marks[a.phase] {
		a.phase++
	}
	return &a.loads[a.phase]
}

// written counts what a daemon sends, and is how large it is and what its receiver will read.
func (w *world) written(a *agent, at time.Duration, size int, message any) (int, any) {
	if w.o.Codec == nil {
		w.load(a, at).Out.Add(at, size)
		return size, message
	}
	data, err := w.o.Codec.Marshal(a.name, message)
	if err != nil {
		panic(fmt.Sprintf("virtual: %T that cannot be written: %v", message, err)) // members' own messages
	}
	w.load(a, at).Out.Add(at, len(data))
	read, err := w.o.Codec.Unmarshal(data)
	if err != nil {
		panic(fmt.Sprintf("virtual: %T that cannot be read: %v", message, err))
	}
	return len(data), read
}

// exchanged is written, for a message on a stream.
func (w *world) exchanged(a *agent, at time.Duration, x *membership.Exchange) (int, *membership.Exchange) {
	size, read := w.written(a, at, 100+80*len(x.Records)+9*len(x.BucketDigests), x)
	return size, read.(*membership.Exchange)
}
