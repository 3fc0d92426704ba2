package virtual

import (
	"fmt"
	"time"

	"vetchhaven/internal/peer/membership"
)

// Codec encodes and decodes messages between members. transport.Wire is the codec of the daemons.
type Codec interface {
	Marshal(from string, message any) ([]byte, error)
	Unmarshal(data []byte) (any, error)
}

// Flow counts the traffic of one direction. Bytes are those of the messages, without the headers of UDP, TCP and IP.
type Flow struct {
	Bytes, Messages uint64
	Most            uint64 // maximum number of bytes in one second of the run's clock
	Second          uint64 // number of the latest second with traffic, from the start of the run
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

// Load counts what one daemon sent and received in a phase of the run. Datagrams that were lost, or whose receiver was
// not running, are counted only as sent.
type Load struct {
	Out, In Flow
	Told    uint64 // records received in datagrams
}

// loadAt returns the counter of a daemon's traffic at a time.
func (w *simulation) loadAt(a *daemon, at time.Duration) *Load {
	for a.phase < len(w.options.Marks) && at >= w.options.Marks[a.phase] {
		a.phase++
	}
	return &a.loads[a.phase]
}

// encode counts a message that a daemon sends. It returns its size and the message as its receiver decodes it.
func (w *simulation) encode(a *daemon, at time.Duration, size int, message any) (int, any) {
	if w.options.Codec == nil {
		w.loadAt(a, at).Out.Add(at, size)
		return size, message
	}
	data, err := w.options.Codec.Marshal(a.name, message)
	if err != nil {
		panic(fmt.Sprintf("virtual: %T can't be encoded: %v", message, err)) // the messages come from the modules themselves
	}
	w.loadAt(a, at).Out.Add(at, len(data))
	read, err := w.options.Codec.Unmarshal(data)
	if err != nil {
		panic(fmt.Sprintf("virtual: %T can't be decoded: %v", message, err))
	}
	return len(data), read
}

// encodeExchange is encode for a message on a stream.
func (w *simulation) encodeExchange(a *daemon, at time.Duration, x *membership.Exchange) (int, *membership.Exchange) {
	size, read := w.encode(a, at, 100+80*len(x.Records)+9*len(x.BucketDigests), x)
	return size, read.(*membership.Exchange)
}
