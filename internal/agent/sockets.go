package agent

// The file descriptors of the process are shared out here: a fixed part for its own files,
// discovery and peers, and the rest to clients and backends. Each client connection carries one
// request at a time, and a request seldom has more than one attempt out, so the parts are equal.
const (
	leastSockets   = 64
	ownSockets     = 24
	defaultSockets = 1024
)

func clientSockets(limit int) int {
	if limit == 0 {
		limit = defaultSockets
	}
	return (limit - ownSockets) / 2
}

func backendSockets(limit int) int { return clientSockets(limit) }
