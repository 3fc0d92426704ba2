package core

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/wire"
)

// Config is the configuration of an agent at its start.
type Config struct {
	Name   string
	Listen string // where clients connect
	Admin  string // address of the admin endpoint; empty: none
	// InheritedFD is the descriptor of an inherited socket that already listens at Listen; 0: there is none.
	InheritedFD int
	Discovery   string // address of the discovery service
	Seed        uint64 // for the balancer's random choices
	Cores       float64
	MemoryMB    int
	Sockets     int // file descriptors that the process may hold; 0: defaultSockets
	PeerListen  string
	Peers       []string          // addresses by agent number
	Known       *discovery.Update // the stored endpoint list; nil: there is none

	Settings decide.Settings
	Site     wire.Site

	// Margin is the time kept free before a client's deadline, so that a timeout reaches the balancer in time for
	// the client to get the final answer. 0: one tick.
	Margin time.Duration
	// BodyBytes bounds the bytes of clients' bodies that are buffered at once, and separately those of servers'
	// bodies. 0: it follows from the memory limit.
	BodyBytes int
	Weight    float64       // this instance's weight when limits are divided among the instances of a process
	Learned   *LearnedState // learned by the previous instance of this name; nil: there is none
}

// LoadConfig reads the file that PROXY_CONFIG names. The other variables override it where they are set. An error
// names the file and the invalid field.
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

// ReloadConfig is LoadConfig for an agent that is running, except that PROXY_DISCOVERY is ignored: the address of
// discovery is that of the file, because the environment is that of the process's start.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return LoadConfig(func(name string) string {
		if name == "PROXY_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// configFile is the JSON form of the configuration file.
type configFile struct {
	Name, Listen, Discovery, Seed string
	Admin                         string `json:"admin_addr"`
	Limits                        struct {
		Cores    float64
		MemoryMB int `json:"memory_mb"`
		Sockets  int
	}
	PeerListen string `json:"peer_listen"`
	Peers      []string
	Known      *discovery.Update
	Settings   json.RawMessage
}

// ParseConfig parses a configuration in JSON, overridden by the variables that getenv returns. An error names the
// invalid field.
func ParseConfig(raw []byte, getenv func(string) string) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, err
	}
	c := &Config{
		Name:       file.Name,
		Listen:     file.Listen,
		Discovery:  file.Discovery,
		Admin:      file.Admin,
		Cores:      file.Limits.Cores,
		MemoryMB:   file.Limits.MemoryMB,
		Sockets:    file.Limits.Sockets,
		PeerListen: file.PeerListen,
		Peers:      file.Peers,
		Known:      file.Known,
	}
	c.override(getenv)
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of up to 16 digits", file.Seed)
	}
	if err := c.checkListen(); err != nil {
		return nil, err
	}
	if c.InheritedFD, err = parseInherited(getenv(inheritedEnv)); err != nil {
		return nil, err
	}
	if err := checkAddr("discovery", c.Discovery); err != nil {
		return nil, err
	}
	if err := c.checkLimits(); err != nil {
		return nil, err
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Site, err = wire.ParseSettings(file.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := c.checkSettings(); err != nil {
		return nil, err
	}
	if err := c.checkPeers(); err != nil {
		return nil, err
	}
	return c, nil
}

// override replaces fields by the values of the variables that are set in the environment.
func (c *Config) override(getenv func(string) string) {
	for name, field := range map[string]*string{
		"PROXY_NAME":       &c.Name,
		"PROXY_LISTEN":     &c.Listen,
		"PROXY_DISCOVERY":  &c.Discovery,
		"PROXY_ADMIN_ADDR": &c.Admin,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
}

func (c *Config) checkListen() error {
	if err := checkAddr("listen", c.Listen); err != nil {
		return err
	}
	if c.Admin == "" {
		return nil
	}
	return checkAddr("admin_addr", c.Admin)
}

func (c *Config) checkLimits() error {
	switch {
	case c.Cores < 0:
		return fmt.Errorf("limits.cores: %v is negative", c.Cores)
	case c.MemoryMB < 0:
		return fmt.Errorf("limits.memory_mb: %v is negative", c.MemoryMB)
	case c.Sockets < 0 || c.Sockets > 0 && c.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %v is too few, at least %d are needed", c.Sockets, minSockets)
	}
	return nil
}

// checkSettings checks what wire.ParseSettings does not check.
func (c *Config) checkSettings() error {
	for i, name := range c.Site.Classes {
		if name == "" {
			return fmt.Errorf("settings: Profiles[%d].Name: missing", i)
		}
	}
	if c.Settings.ConnectTimeout <= 0 {
		return errors.New("settings: PolicyLimits.ConnectTimeoutMs: must be positive")
	}
	if c.Site.IdleClose <= 0 {
		return errors.New("settings: PolicyLimits.IdleCloseMs: must be positive")
	}
	return nil
}

func (c *Config) checkPeers() error {
	if !c.Settings.Peers {
		return nil
	}
	if err := checkAddr("peer_listen", c.PeerListen); err != nil {
		return err
	}
	if len(c.Peers) != c.Settings.Balancers {
		return fmt.Errorf("peers: %d addresses for %d agents", len(c.Peers), c.Settings.Balancers)
	}
	for i, p := range c.Peers {
		if err := checkAddr(fmt.Sprintf("peers[%d]", i), p); err != nil {
			return err
		}
	}
	return nil
}

// checkAddr checks that a field holds an IP address and a port.
func checkAddr(field, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s: missing", field)
	}
	host, _, err := net.SplitHostPort(addr)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("%q is not an IP address (host names are not resolved)", host)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}

const (
	// defaultMemoryMB is the memory limit in MiB where none is set: the memory that the platform gives an agent.
	defaultMemoryMB = 192
	// processMemoryMB is what the process takes beside what it holds for clients and servers, in MiB. It leaves at
	// least 1/minHeldDivisor of the memory limit.
	processMemoryMB = 24
	minHeldDivisor  = 4
	// bodyMemoryDivisor divides the memory that the process may hold for clients and servers: the result bounds the
	// buffered bytes of requests, and separately those of responses.
	bodyMemoryDivisor = 8
)

// HeldMemory returns how many bytes a process with a memory limit in MiB may hold for clients and servers.
func HeldMemory(memoryMB int) int {
	return max((memoryMB-processMemoryMB)<<20, memoryMB<<20/minHeldDivisor)
}

const (
	// requestMemory is about how many bytes an open request takes, with its connections and goroutines, beside what is
	// buffered of it.
	requestMemory = 40 << 10
	// minOpenRequests is how many requests may be open however little memory there is.
	minOpenRequests = 64
)

// OpenRequests returns how many requests may be open at once in an agent whose BodyMemory is bodyMemory.
func OpenRequests(bodyMemory int) int {
	return max(minOpenRequests, bodyMemory*bodyMemoryDivisor/requestMemory)
}

// OpenUploads returns how many of the requests in OpenRequests may be uploads, which take all of requestMemory for as
// long as their clients write. It is less than minOpenRequests where that is the bound on all.
func OpenUploads(bodyMemory int) int {
	const uploadShare = 4
	return max(minOpenRequests/2, OpenRequests(bodyMemory)/uploadShare)
}

// BodyMemory returns how many bytes of requests may be buffered at once, and separately of responses.
func (c *Config) BodyMemory() int {
	if c.BodyBytes > 0 {
		return c.BodyBytes
	}
	return HeldMemory(cmp.Or(c.MemoryMB, defaultMemoryMB)) / bodyMemoryDivisor
}

// MaxDeadline returns the longest deadline of any class.
func (c *Config) MaxDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
