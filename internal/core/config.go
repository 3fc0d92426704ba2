package core

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/wire"
)

// Config is what an agent is told at its start.
type Config struct {
	Name   string
	Listen string // where clients connect
	Admin  string // where operators call; empty: nowhere
	// InheritedFD is the descriptor of a socket that listens there already; 0: none.
	InheritedFD int
	Discovery   string
	Seed        uint64
	Cores       float64
	MemoryMB    int
	Sockets     int // file descriptors that the process may hold
	PeerListen  string
	Peers       []string           // addresses by agent number
	Known       *discovery.Members // the list of backends as last stored; may be absent

	Settings decide.Settings
	Site     wire.Site

	// Margin is kept free before a client's time is up, so that a time-out at its end reaches the
	// module in time for the client to hear the final answer. 0: one tick.
	Margin time.Duration
	// BodyBytes bounds the bodies of clients, and again those of backends, that are kept at once. 0: an
	// eighth of the memory limit.
	BodyBytes int
	Weight    float64 // of this instance among those of one process, when limits are shared out
	Memory    *Memory // what the instance that ran before has left; may be absent
}

// LoadConfig reads the file that PROXY_CONFIG names. The other variables, where set, go before
// what the file says. An error names the field that is wrong.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	c, err := ParseConfig(raw, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// ReloadConfig reads the file again, for an agent that is running. What the file says now goes
// before the address of discovery in the environment, which is that of the start.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return LoadConfig(func(name string) string {
		if name == "PROXY_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// ParseConfig reads a configuration in JSON, under the variables that getenv gives.
func ParseConfig(raw []byte, getenv func(string) string) (*Config, error) {
	var f struct {
		Name, Listen, Discovery, Seed string
		Admin                         string `json:"admin_addr"`
		Limits                        struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		PeerListen string `json:"peer_listen"`
		Peers      []string
		Known      *discovery.Members
		Settings   json.RawMessage
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Admin: f.Admin, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		PeerListen: f.PeerListen, Peers: f.Peers, Known: f.Known}
	for name, field := range map[string]*string{
		"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_DISCOVERY": &c.Discovery,
		"PROXY_ADMIN_ADDR": &c.Admin} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of up to 16 digits", f.Seed)
	}
	if err := checkAddr("listen", c.Listen); err != nil {
		return nil, err
	}
	if c.Admin != "" {
		if err := checkAddr("admin_addr", c.Admin); err != nil {
			return nil, err
		}
	}
	if c.InheritedFD, err = parseInherited(getenv(inheritedEnv)); err != nil {
		return nil, err
	}
	if err := checkAddr("discovery", c.Discovery); err != nil {
		return nil, err
	}
	switch {
	case c.Cores < 0:
		return nil, fmt.Errorf("limits.cores: %v is negative", c.Cores)
	case c.MemoryMB < 0:
		return nil, fmt.Errorf("limits.memory_mb: %v is negative", c.MemoryMB)
	case c.Sockets < 0 || c.Sockets > 0 && c.Sockets < minSockets:
		return nil, fmt.Errorf("limits.sockets: %v is too few, at least %d are needed", c.Sockets, minSockets)
	case len(f.Settings) == 0:
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Site, err = wire.ParseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for i, name := range c.Site.Classes {
		if name == "" {
			return nil, fmt.Errorf("settings: Profiles[%d].Name: missing", i)
		}
	}
	if c.Settings.ConnectTimeout <= 0 {
		return nil, errors.New("settings: PolicyLimits.ConnectTimeoutMs: must be positive")
	}
	if c.Site.IdleClose <= 0 {
		return nil, errors.New("settings: PolicyLimits.IdleCloseMs: must be positive")
	}
	if c.Settings.Peers {
		if err := checkAddr("peer_listen", c.PeerListen); err != nil {
			return nil, err
		}
		if len(c.Peers) != c.Settings.Balancers {
			return nil, fmt.Errorf("peers: %d addresses for %d agents", len(c.Peers), c.Settings.Balancers)
		}
		for i, p := range c.Peers {
			if err := checkAddr(fmt.Sprintf("peers[%d]", i), p); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

func checkAddr(field, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s: missing", field)
	}
	host, _, err := net.SplitHostPort(addr)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("%q is not an IP address (there is no DNS)", host)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}

// BodyMemory is how many bytes of bodies are kept at once, of clients and again of backends: an
// eighth of the memory limit.
func (c *Config) BodyMemory() int {
	if c.BodyBytes > 0 {
		return c.BodyBytes
	}
	if c.MemoryMB == 0 {
		return defaultMemoryMB << 20 / 8
	}
	return c.MemoryMB << 20 / 8
}

const defaultMemoryMB = 192

// MaxDeadline is the longest time that any client waits.
func (c *Config) MaxDeadline() time.Duration {
	var d time.Duration
	for _, class := range c.Settings.Classes {
		d = max(d, class.Deadline)
	}
	return d
}

// ByteBudget bounds the bytes that are kept at once, by those that ask it.
type ByteBudget struct{ free, total atomic.Int64 }

// NewByteBudget has so many bytes.
func NewByteBudget(bytes int) *ByteBudget {
	b := &ByteBudget{}
	b.Resize(bytes)
	return b
}

// Resize changes how many bytes it has. What is booked past that stays so, and nothing more is until it fits.
func (b *ByteBudget) Resize(bytes int) { b.free.Add(int64(bytes) - b.total.Swap(int64(bytes))) }

// Acquire books bytes, if so many are left.
func (b *ByteBudget) Acquire(n int) bool {
	if b.free.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release gives booked bytes back.
func (b *ByteBudget) Release(n int) { b.free.Add(int64(n)) }

// Free is how many bytes are not booked.
func (b *ByteBudget) Free() int64 { return b.free.Load() }
