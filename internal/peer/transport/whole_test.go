package transport

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"vetchhaven/internal/peer/membership"
)

// A member that starts without a view is sent all of one on one stream: as many as are known by default fit, with each
// field as long as it may be, but Mute, which is of a region's three watchers alone.
func TestFullViewOfMaxMembersFitsAStream(t *testing.T) {
	long := strings.Repeat("x", membership.MaxNameBytes)
	x := &membership.Exchange{From: long}
	for n := range membership.DefaultMaxMembers {
		x.Records = append(x.Records, membership.Record{Name: fmt.Sprintf("%0*d", membership.MaxNameBytes, n), Addr: strings.Repeat("a", 64), Zone: long, Region: long, Program: long,
			Boot: 1 << 62, RunID: 1 << 63, Incarnation: 1 << 31, State: membership.Dead, Reporter: long, Instances: 1 << 31, Balancers: 1 << 31, NameVerified: true, AgeSeconds: 1 << 31, Metadata: make([]byte, membership.MaxMetadataBytes)})
	}
	var b bytes.Buffer
	if err := writeExchange(&b, "vetchhaven", x); err != nil {
		t.Fatalf("%d members: %v", membership.DefaultMaxMembers, err)
	}
	if back, err := readExchange(&b, "vetchhaven"); err != nil || len(back.Records) != membership.DefaultMaxMembers {
		t.Fatalf("of %d members it is not read: %v", membership.DefaultMaxMembers, err)
	}
}
