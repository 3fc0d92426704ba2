package admin

import (
	"encoding/json"

	"vetchhaven/internal/core"
)

// classFigures is one class of requests in the body of GET /metrics.
type classFigures struct {
	Answered int64 `json:"answered"`
	Deferred int64 `json:"deferred"`
	Errored  int64 `json:"errored"`
	Sends    int64 `json:"sends"`
}

// figures is the body of GET /metrics, with the names that the platform's protocol defines.
type figures struct {
	Transactions map[string]classFigures `json:"transactions"` // by class name
	Sends        int64                   `json:"sends"`        // sum over all classes
	Current      int64                   `json:"current"`
	Listed       int                     `json:"cluster_size"`
	Avoided      int                     `json:"cluster_unhealthy"`
}

// EncodeFigures returns the body of GET /metrics: JSON and a line feed.
func EncodeFigures(f core.Status) []byte {
	out := figures{
		Transactions: map[string]classFigures{},
		Current:      f.Open,
		Listed:       f.Listed,
		Avoided:      f.Avoided,
	}
	for _, c := range f.Classes {
		out.Transactions[c.Name] = classFigures{Answered: c.Answered, Deferred: c.Deferred, Errored: c.Errored, Sends: c.Sends}
		out.Sends += c.Sends
	}
	text, err := json.Marshal(out)
	if err != nil { // can't happen: the value contains only numbers and names
		panic(err)
	}
	return append(text, '\n')
}
