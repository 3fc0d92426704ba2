package admin

import (
	"testing"

	"vetchhaven/internal/core"
	"vetchhaven/internal/testkit/golden"
)

// The body of GET /metrics must not change: the platform reads it.
func TestFiguresStayAsThePlatformReadsThem(t *testing.T) {
	var f core.Status
	golden.Fill(&f)
	golden.Check(t, "figures.json", EncodeFigures(f))
}
