package daemonconfig

import (
	"fmt"
	"syscall"

	"vetchhaven/internal/core"
)

const (
	// listenerSockets is how many descriptors of its listener an instance has: the daemon's, its own, and one more while it is
	// replaced.
	listenerSockets = 3
	// maxSockets bounds the process's sockets where the file does not: a machine's limit may be without end.
	maxSockets = 1 << 20
	// minMemoryKiB is how much memory an instance has at the least, for bodies of requests.
	minMemoryKiB = 256
	// processMemoryShare: half of the memory is the process's own.
	processMemoryShare = 2
	// bodyMemoryShare: a quarter of an instance's memory is for bodies that it holds.
	bodyMemoryShare = 4
)

// resourceShares splits the process's sockets and memory among the instances: a floor for each, the rest by weight.
func (c *checker) resourceShares(f *fileTables, cfg *Config) {
	cfg.Sockets = f.Limits.Sockets
	if cfg.Sockets == 0 {
		cfg.Sockets = socketLimit()
	}
	n := len(cfg.Instances)
	weights := make([]float64, n)
	for i := range cfg.Instances {
		weights[i] = cfg.Instances[i].Agent.Weight
	}
	sockets, err := Shares(cfg.Sockets-ProcessSockets-listenerSockets*n, MinSocketShare, weights)
	if err != nil {
		c.fail("limits.sockets", "%d are too few for %d instances: %v", cfg.Sockets, n, err)
		return
	}
	memoryKiB := make([]int, n) // a share may be less than one MiB
	if cfg.MemoryMB > 0 {
		memoryKiB, err = Shares(cfg.MemoryMB<<10/processMemoryShare, minMemoryKiB, weights)
		if err != nil {
			c.fail("limits.memory_mb", "%d are too few for %d instances: %v", cfg.MemoryMB, n, err)
			return
		}
	}
	for i := range cfg.Instances {
		agent := &cfg.Instances[i].Agent
		agent.Sockets = sockets[i] + core.OwnSockets
		agent.BodyBytes = memoryKiB[i] << 10 / bodyMemoryShare
	}
}

// socketLimit returns how many descriptors the process may have; 0: that can't be had.
func socketLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxSockets))
}

// Shares splits a total among as many as there are weights: a floor for each, and the rest by weight. It returns an error if
// the floors are more than the total.
func Shares(total, floor int, weights []float64) ([]int, error) {
	const tiny = 1e-9 // keeps weights of 0 from a division by 0
	rest := total - floor*len(weights)
	if rest < 0 {
		return nil, fmt.Errorf("%d are left for them, and each needs %d", max(0, total), floor)
	}
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	shares := make([]int, len(weights))
	for i, weight := range weights {
		shares[i] = floor + int(float64(rest)*weight/max(sum, tiny))
	}
	return shares, nil
}
