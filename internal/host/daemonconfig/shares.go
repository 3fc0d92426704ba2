package daemonconfig

import (
	"fmt"
	"syscall"

	"vetchhaven/internal/core"
)

// resourceShares splits the process's sockets and memory: a floor for each, the rest by weight.
func (c *checker) resourceShares(f *fileTables, cfg *Config) {
	if cfg.Sockets = f.Limits.Sockets; cfg.Sockets == 0 {
		var r syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil {
			cfg.Sockets = int(min(r.Cur, 1<<20))
		}
	}
	n := len(cfg.Instances)
	weights := make([]float64, n)
	for i := range cfg.Instances {
		weights[i] = cfg.Instances[i].Agent.Weight
	}
	// Each instance's listener is held twice, and one more while it is replaced.
	sockets, err := Shares(cfg.Sockets-ProcessSockets-3*n, MinSocketShare, weights)
	if err != nil {
		c.fail("limits.sockets", "%d are too few for %d instances: %v", cfg.Sockets, n, err)
		return
	}
	memory := make([]int, n)
	if cfg.MemoryMB > 0 {
		// In KiB, since a share may be less than one MiB. Half is the process's own.
		if memory, err = Shares(cfg.MemoryMB<<10/2, 256, weights); err != nil {
			c.fail("limits.memory_mb", "%d are too few for %d instances: %v", cfg.MemoryMB, n, err)
			return
		}
	}
	for i := range cfg.Instances {
		a := &cfg.Instances[i].Agent
		a.Sockets = sockets[i] + core.OwnSockets
		a.BodyBytes = memory[i] << 10 / 4
	}
}

// Shares splits a total: a floor for each, and the rest by weight.
func Shares(total, floor int, weights []float64) ([]int, error) {
	rest := total - floor*len(weights)
	if rest < 0 {
		return nil, fmt.Errorf("%d are left for them, and each needs %d", max(0, total), floor)
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	all := make([]int, len(weights))
	for i, w := range weights {
		all[i] = floor + int(float64(rest)*w/max(sum, 1e-9))
	}
	return all, nil
}
