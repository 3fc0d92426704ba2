package daemon

import (
	"vetchhaven/internal/tomlfile"
)

type file struct {
	Admin     string
	StateDir  string            `toml:"state_dir"`
	StateMost tomlfile.Duration `toml:"state_max_age"`
	Drain     tomlfile.Duration `toml:"drain"`
	Limits    struct {
		MemoryMB int `toml:"memory_mb"`
		Sockets  int
	}
	Restart struct {
		First   tomlfile.Duration
		Most    tomlfile.Duration
		Healthy tomlfile.Duration
		GiveUp  int `toml:"give_up"`
	}
	Peers    *peers
	Policy   *agree
	Ban      []ban
	Limit    []limit
	Source   []source
	Site     site
	Rules    rules
	Class    []class
	LDAP     ldapTable `toml:"ldap"`
	Defaults instance
	Instance []instance
	Template []template
}

// limit is [[limit]]: one that the fleet shares.
type limit struct {
	Name   string
	Counts string
	Kind   string
	Figure int
	Floor  float64
	Class  string
	Zone   string
	Pod    *int
	Server string
	Each   string
}

type source struct {
	Name      string
	List      string
	Spread    tomlfile.Duration
	First     tomlfile.Duration
	SRV       []string `toml:"srv"`
	Browse    []string
	Resolvers []string
	Multicast string
	Group     string
	Hold      tomlfile.Duration
}

type site struct {
	Zones  []string
	Kinds  []string
	ByWork bool `toml:"by_work"`
}

type rules struct {
	Balancers      int
	MaxAttempts    int               `toml:"max_attempts"`
	SecondCopies   bool              `toml:"second_copies"`
	ConnectTimeout tomlfile.Duration `toml:"connect_timeout"`
	IdleClose      tomlfile.Duration `toml:"idle_close"`
	DrainGrace     tomlfile.Duration `toml:"drain_grace"`
	AnswerSlack    tomlfile.Duration `toml:"answer_slack"`
	ColdShare      float64           `toml:"cold_share"`
	RampTime       tomlfile.Duration `toml:"ramp_time"`
	FallMultiple   float64           `toml:"fall_multiple"`
	FallWindow     tomlfile.Duration `toml:"fall_window"`
	CrossZonePrice float64           `toml:"cross_zone_price"`
	MaxRetryAfter  tomlfile.Duration `toml:"max_retry_after"`
}

type class struct {
	Name     string
	Aim      tomlfile.Duration
	Deadline tomlfile.Duration
	Worth    float64
	Late     float64
	Repeats  string
	Group    string
	Window   tomlfile.Duration
}

// ldapTable is for all instances that speak LDAP.
type ldapTable struct {
	MaxMessage    int `toml:"max_message"`
	MaxOperations int `toml:"max_operations"`
	PerConnection int `toml:"per_connection"`
	Idle          tomlfile.Duration
	Certificate   string
	Key           string
	LDAPS         bool   `toml:"ldaps"`
	ServerTLS     string `toml:"server_tls"`
	ServerCA      string `toml:"server_ca"`
	ServerName    string `toml:"server_name"`
}

type instance struct {
	Name     string
	Protocol string
	Listen   string
	Source   string
	Zone     string
	Classes  []string
	Tick     tomlfile.Duration
	MaxOpen  int `toml:"max_open"`
	Weight   float64
}

// template stands for many instances: {n} counts from first, {port} from port.
type template struct {
	instance
	Count int
	First int
	Port  int
}
