package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// serving returns the ID of the process that answers at a daemon's admin endpoint.
func (r *runner) serving(ctx context.Context, d *daemon) (int, error) {
	var s struct{ PID int }
	var err error
	for range 50 {
		if err = r.admin(ctx, d, http.MethodGet, "/status", func(b io.Reader) error { return json.NewDecoder(b).Decode(&s) }); err == nil && s.PID > 0 {
			return s.PID, nil
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("no process answers at the admin endpoint of %s: %w", d.name, err)
}
