package daemonconfig

import (
	"fmt"
	"syscall"

	"vetchhaven/internal/core"
)

const (
	// listenerSockets is the number of descriptors for the listener of an instance: the daemon's, the agent's, and
	// one more while the agent is replaced.
	listenerSockets = 3
	// maxSockets bounds the process's sockets if the file does not: the system's limit may be unlimited.
	maxSockets = 1 << 20
	// minMemoryKiB is the minimum memory of an instance for bodies of requests.
	minMemoryKiB = 256
	// processMemoryShare divides the memory: half of it is reserved for the process itself.
	processMemoryShare = 2
	// bodyMemoryShare divides an instance's memory: a quarter of it is for the bodies that the instance holds.
	bodyMemoryShare = 4
)

// resourceShares splits the process's sockets and memory among the instances: each gets a floor, and the rest is
// split by weight.
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
	sockets, err := Shares(cfg.Sockets-ReservedSockets-listenerSockets*n, MinSocketShare, weights)
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
		agent.Sockets = sockets[i] + core.ReservedSockets
		agent.BodyBytes = memoryKiB[i] << 10 / bodyMemoryShare
		if cfg.MemoryMB > 0 { // the rest is for the process and its connections
			agent.BodyBytes = int(int64(agent.BodyBytes) * int64(core.HeldMemory(cfg.MemoryMB)) / (int64(cfg.MemoryMB) << 20))
		}
	}
}

// socketLimit returns how many descriptors the process may have, or 0 if the limit can't be read.
func socketLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxSockets))
}

// Shares splits a total into one share for each weight: each share gets the floor, and the rest is split by weight.
// It returns an error if the floors exceed the total.
func Shares(total, floor int, weights []float64) ([]int, error) {
	const minSum = 1e-9 // prevents a division by 0 if all weights are 0
	rest := total - floor*len(weights)
	if rest < 0 {
		return nil, fmt.Errorf("%d are left for the instances, and each needs %d", max(0, total), floor)
	}
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	shares := make([]int, len(weights))
	for i, weight := range weights {
		shares[i] = floor + int(float64(rest)*weight/max(sum, minSum))
	}
	return shares, nil
}
