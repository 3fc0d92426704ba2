package daemonconfig

import (
	"fmt"
	"strings"
	"testing"

	"vetchhaven/internal/core"
)

// The instances' connections fit into the sockets of the process. Known to fail: an instance with a share of 16 to 39
// sockets takes 40, because core works with at least 64 descriptors (minSockets, less core.ReservedSockets). With 6 instances
// of 16 sockets each, clients and servers may take 240 sockets where 96 are left for them.
func TestInstancesTakeNoMoreSocketsThanThereAre(t *testing.T) {
	const instances = 6 // the number of instances in validFile
	for _, share := range []int{MinSocketShare, 39, 40} {
		total := ReservedSockets + instances*(listenerSockets+share)
		cfg := loadText(t, strings.Replace(validFile, "sockets = 4000", fmt.Sprintf("sockets = %d", total), 1))
		taken := 0
		for i := range cfg.Instances {
			sockets := cfg.Instances[i].Agent.Sockets
			taken += core.ClientSockets(sockets) + core.BackendSockets(sockets)
		}
		if taken > instances*share {
			t.Errorf("share %d: %d instances take %d sockets, and %d are left for them", share, len(cfg.Instances), taken, instances*share)
		}
	}
}
