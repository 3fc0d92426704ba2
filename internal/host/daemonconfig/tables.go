package daemonconfig

import (
	"vetchhaven/internal/tomlfile"
)

// fileTables is a daemon's settings file. A field's key is its tag or, without a tag, its name, ignoring case.
type fileTables struct {
	Admin       string
	StateDir    string            `toml:"state_dir"`
	MaxStateAge tomlfile.Duration `toml:"state_max_age"`
	Drain       tomlfile.Duration `toml:"drain"`
	Limits      struct {
		MemoryMB int `toml:"memory_mb"`
		Sockets  int
	}
	Restart struct {
		First   tomlfile.Duration
		MaxWait tomlfile.Duration `toml:"most"`
		Healthy tomlfile.Duration
		GiveUp  int `toml:"give_up"`
	}
	Peers    *peersTable
	Policy   *policyTable
	Ban      []banTable
	Limit    []limitTable
	Source   []sourceTable
	Site     siteTable
	Rules    rulesTable
	Class    []classTable
	LDAP     ldapTable `toml:"ldap"`
	Defaults instanceTable
	Instance []instanceTable
	Template []templateTable
}

// limitTable is [[limit]]: a limit that the fleet shares.
type limitTable struct {
	Name      string
	Counts    string
	Kind      string
	Total     int `toml:"figure"`
	Floor     float64
	Class     string
	Zone      string
	Pod       *int
	Server    string
	Partition string `toml:"each"`
}

// sourceTable is [[source]]: an endpoint list.
type sourceTable struct {
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

// siteTable is [site]: the zones and kinds, on which all daemons have to agree.
type siteTable struct {
	Zones  []string
	Kinds  []string
	ByWork bool `toml:"by_work"`
}

// rulesTable is [rules]: the settings by which the balancers decide.
type rulesTable struct {
	Balancers        int
	MaxAttempts      int               `toml:"max_attempts"`
	Hedging          bool              `toml:"second_copies"`
	ConnectTimeout   tomlfile.Duration `toml:"connect_timeout"`
	IdleClose        tomlfile.Duration `toml:"idle_close"`
	DrainGrace       tomlfile.Duration `toml:"drain_grace"`
	AnswerSlack      tomlfile.Duration `toml:"answer_slack"`
	SlowStartShare   float64           `toml:"cold_share"`
	SlowStartTime    tomlfile.Duration `toml:"ramp_time"`
	OverloadMultiple float64           `toml:"fall_multiple"`
	OverloadWindow   tomlfile.Duration `toml:"fall_window"`
	CrossZonePrice   float64           `toml:"cross_zone_price"`
	MaxRetryAfter    tomlfile.Duration `toml:"max_retry_after"`
}

// classTable is [[class]]: a class of requests.
type classTable struct {
	Name        string
	Objective   tomlfile.Duration `toml:"aim"`
	Deadline    tomlfile.Duration
	Value       float64           `toml:"worth"`
	LateValue   float64           `toml:"late"`
	Effect      string            `toml:"repeats"`
	Scope       string            `toml:"group"`
	DedupWindow tomlfile.Duration `toml:"window"`
}

// ldapTable is [ldap]: the settings of all instances that speak LDAP.
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

// instanceTable is [[instance]], and also [defaults], which sets defaults for all instances.
type instanceTable struct {
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

// templateTable is [[template]], which defines count instances. In names and addresses {n} counts up from first, and
// {port} from port.
type templateTable struct {
	instanceTable
	Count int
	First int
	Port  int
}
