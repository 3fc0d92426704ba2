package http1

import (
	"strconv"
	"sync"

	"vetchhaven/internal/core"
)

const (
	// streamPieceSize is how many bytes of a streamed body are buffered at once if the budget allows it, and
	// smallPieceSize how many otherwise.
	streamPieceSize = 32 << 10
	smallPieceSize  = 4 << 10
	// maxChunkHead is how many bytes a chunk's size takes, with its line ending, and chunkEnd what may follow the chunk.
	maxChunkHead = len("ffff\r\n")
	chunkEnd     = "\r\n" + lastChunk
)

// piece is the buffer of a streamed body. It has space for the framing of a chunk around the bytes of the body, so that
// they are not copied.
type piece struct {
	buf      []byte
	budget   *core.ByteBudget
	reserved int
}

// newPiece returns a buffer of streamPieceSize bytes, or a smaller one if the budget does not allow it. release must be
// called after its use.
func newPiece(budget *core.ByteBudget) *piece {
	if !budget.Acquire(streamPieceSize) {
		return &piece{buf: make([]byte, maxChunkHead+smallPieceSize+len(chunkEnd))}
	}
	p := pieces.Get().(*piece)
	p.budget = budget
	p.reserved = streamPieceSize
	return p
}

// pieces is a pool of pieces of streamPieceSize bytes.
var pieces = sync.Pool{New: func() any {
	return &piece{buf: make([]byte, maxChunkHead+streamPieceSize+len(chunkEnd))}
}}

// release returns the buffer, which must not be used any more.
func (p *piece) release() {
	if p.reserved == 0 {
		return
	}
	p.budget.Release(p.reserved)
	p.budget = nil
	p.reserved = 0
	pieces.Put(p)
}

// space returns the space for bytes of the body.
func (p *piece) space() []byte { return p.buf[maxChunkHead : len(p.buf)-len(chunkEnd)] }

// chunk returns the first n bytes of the space as a chunk, followed by the end of the body if last is set. A chunk of no
// bytes is left out, because it would end the body.
func (p *piece) chunk(n int, last bool) []byte {
	start, end := maxChunkHead, maxChunkHead+n
	if n > 0 {
		var head [maxChunkHead]byte
		text := append(strconv.AppendInt(head[:0], int64(n), 16), "\r\n"...)
		start -= copy(p.buf[start-len(text):], text)
		end += copy(p.buf[end:], "\r\n")
	}
	if last {
		end += copy(p.buf[end:], lastChunk)
	}
	return p.buf[start:end]
}
